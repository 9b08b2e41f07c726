// Package inputbudget shares a number of bytes of memory between the clients that fill it with input.
//
// A client may hold at most a fixed part of what is free. Clients that take all they get leave each other equal parts, and
// always leave something free for a client that holds little: n of them leave 1/(1+n/share) of the budget free. The method
// is that of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", IEEE/ACM
// Transactions on Networking 6 (1998), with a share of one quarter.
//
// The package performs no I/O. All methods may be called from any goroutine; no other lock is taken under the budget's.
package inputbudget

import "sync"

// freeBytesPerHeldByte is the reciprocal of the share of the free bytes that one account may hold.
const freeBytesPerHeldByte = 4

// Budget is a number of bytes that accounts share.
type Budget struct {
	mu    sync.Mutex
	limit int64 // bytes
	held  int64 // bytes held by all accounts
}

// New returns a budget of limit bytes, of which none is held.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that all accounts hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// NewAccount returns an account that holds nothing.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account is what one client holds of a budget.
type Account struct {
	budget *Budget
	held   int64 // bytes; guarded by the budget's lock
}

// Take adds bytes to what the account holds, and reports whether it may. If it may not, nothing changes.
func (a *Account) Take(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if (a.held+bytes)*freeBytesPerHeldByte > b.limit-b.held {
		return false
	}
	a.held += bytes
	b.held += bytes
	return true
}

// Release takes bytes from what the account holds. They must have been added by Take.
func (a *Account) Release(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.held -= bytes
	a.budget.held -= bytes
}
