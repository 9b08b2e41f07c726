// Package memory accounts for the memory that a process holds for others, and bounds it.
//
// A Budget follows from the memory limit of the process. Each kind of use has a Holder with a part of it. What may be
// turned away is taken (Take), which fails if there is no room; what is owed is added (Add), which always succeeds, and
// leaves less room for what is taken later. New work is taken only while the whole budget has room (TakeSpare), so that it
// is turned away before anything else.
//
// Clients share a holder by accounts. A client may hold at most a fixed part of what is free. Clients that take all they
// get leave each other equal parts, and always leave something free for a client that holds little: n of them leave
// 1/(1+n/share) of the holder free. The method is that of Choudhury and Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", IEEE/ACM Transactions on Networking 6 (1998), with a share of one quarter.
//
// The package performs no I/O. All methods may be called from any goroutine; no other lock is taken under the budget's.
package memory

import "sync"

// freeUnitsPerHeldUnit is the reciprocal of the share of what is free that one account may hold.
const freeUnitsPerHeldUnit = 4

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
	held   int64 // bytes; guarded by the budget's lock
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

// NewAccount returns an account that holds nothing.
func (h *Holder) NewAccount() *Account { return &Account{holder: h} }

// Account is what one client holds of a holder.
type Account struct {
	holder *Holder
	held   int64 // bytes; guarded by the budget's lock
}

// Take adds bytes to what the account holds, and reports whether it may. If it may not, nothing changes.
func (a *Account) Take(bytes int64) bool {
	b := a.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.fits(bytes) {
		return false
	}
	a.add(bytes)
	return true
}

// HasRoom reports whether the account holds nothing, or less than it may.
func (a *Account) HasRoom() bool {
	a.holder.budget.mu.Lock()
	defer a.holder.budget.mu.Unlock()
	return a.held == 0 || a.fits(0)
}

// fits reports whether the account may hold so many bytes more. The caller holds the budget's lock.
func (a *Account) fits(bytes int64) bool {
	return (a.held+bytes)*freeUnitsPerHeldUnit <= a.holder.limit-a.holder.held
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
