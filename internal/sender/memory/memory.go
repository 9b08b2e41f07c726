// Package memory accounts for the memory that a process holds for others, and bounds it.
//
// A Budget follows from the memory limit of the process. Each kind of use has a Holder with a part of it. What may be
// turned away is taken (Take), which fails if there is no room; what is owed is added (Add), which always succeeds, and
// leaves less room for what is taken later. New work is taken only while the whole budget has room (TakeSpare), so that it
// is turned away before anything else.
//
// Clients share a holder by accounts. All of them leave a reserve free, except for what one client waits for (TakeReserved),
// and that only up to an equal part of the holder. So a single client can fill most of the holder, and clients that hold
// little still find room. A threshold that depends on what is free alone, as that of Choudhury and Hahne, "Dynamic queue
// length thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking 6 (1998), gives way to many
// clients that fill the holder one after another.
//
// The package performs no I/O. All methods may be called from any goroutine; no other lock is taken under the budget's.
package memory

import "sync"

// reserveDivisor is the reciprocal of the part of a holder that Account.Take leaves free.
const reserveDivisor = 8

// Budget is the memory that all holders share.
type Budget struct {
	mu    sync.Mutex
	limit int64 // bytes
	held  int64 // bytes held by all holders
}

// NewBudget returns a budget of limit bytes, of which none is held.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that all holders hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the number of bytes that the holders may take together.
func (b *Budget) Limit() int64 { return b.limit }

// NewHolder returns a holder that may take up to limit bytes of the budget.
func (b *Budget) NewHolder(limit int64) *Holder { return &Holder{budget: b, limit: limit} }

// Holder is what one kind of use holds of a budget.
type Holder struct {
	budget *Budget
	limit  int64 // bytes

	// The budget's lock guards these.
	held     int64 // bytes
	accounts int64 // number of accounts that are open
}

// Take adds bytes to what the holder holds, and reports whether it may. If it may not, nothing changes. A holder that holds
// nothing may take any number of bytes, so that work larger than its limit can be done one at a time.
func (h *Holder) Take(bytes int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if bytes > 0 && h.held > 0 && h.held+bytes > h.limit {
		return false
	}
	h.add(bytes)
	return true
}

// TakeSpare is Take for work that is turned away first: it also fails if the whole budget has no room.
func (h *Holder) TakeSpare(bytes int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.held+bytes > h.limit || h.budget.held+bytes > h.budget.limit {
		return false
	}
	h.add(bytes)
	return true
}

// Add adds bytes to what the holder holds, even beyond its limit.
func (h *Holder) Add(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.add(bytes)
}

// Release takes bytes from what the holder holds. They must have been added by Take or Add.
func (h *Holder) Release(bytes int64) { h.Add(-bytes) }

// add changes what is held. The caller holds the budget's lock.
func (h *Holder) add(bytes int64) {
	h.held += bytes
	h.budget.held += bytes
}

// Held returns the number of bytes that the holder holds.
func (h *Holder) Held() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}

// Limit returns the number of bytes that the holder may take.
func (h *Holder) Limit() int64 { return h.limit }

// NewAccount opens an account that holds nothing.
func (h *Holder) NewAccount() *Account {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.accounts++
	return &Account{holder: h}
}

// Account is what one client holds of a holder.
type Account struct {
	holder *Holder
	held   int64 // bytes; guarded by the budget's lock
}

// Take adds bytes to what the account holds, and reports whether it may. If it may not, nothing changes.
func (a *Account) Take(bytes int64) bool { return a.take(bytes, false) }

// TakeReserved is Take for something that the client waits for. It may use the reserve if the account then holds no more than
// an equal part of the holder.
func (a *Account) TakeReserved(bytes int64) bool { return a.take(bytes, true) }

// take implements Take and TakeReserved.
func (a *Account) take(bytes int64, reserved bool) bool {
	a.holder.budget.mu.Lock()
	defer a.holder.budget.mu.Unlock()
	if !a.fits(bytes, reserved) {
		return false
	}
	a.add(bytes)
	return true
}

// HasRoom reports whether the account holds nothing, or the reserve is free.
func (a *Account) HasRoom() bool {
	a.holder.budget.mu.Lock()
	defer a.holder.budget.mu.Unlock()
	return a.held == 0 || a.fits(0, false)
}

// fits reports whether the account may hold so many bytes more. The caller holds the budget's lock.
func (a *Account) fits(bytes int64, reserved bool) bool {
	h := a.holder
	free := h.limit - h.held - bytes
	if reserved && a.held+bytes <= h.limit/max(1, h.accounts) {
		return free >= 0
	}
	return free >= h.limit/reserveDivisor
}

// Close ends the account, which no longer counts for the equal part of the others. What it holds is to be released by then
// or later.
func (a *Account) Close() {
	a.holder.budget.mu.Lock()
	defer a.holder.budget.mu.Unlock()
	a.holder.accounts--
}

// Add adds bytes to what the account holds, even beyond what it may hold.
func (a *Account) Add(bytes int64) {
	a.holder.budget.mu.Lock()
	defer a.holder.budget.mu.Unlock()
	a.add(bytes)
}

// Release takes bytes from what the account holds. They must have been added by Take or Add.
func (a *Account) Release(bytes int64) { a.Add(-bytes) }

// add changes what is held. The caller holds the budget's lock.
func (a *Account) add(bytes int64) {
	a.held += bytes
	a.holder.add(bytes)
}
