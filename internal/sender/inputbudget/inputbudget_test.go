package inputbudget

import "testing"

// TestGreedyAccountsLeaveRoom checks that accounts which take all they get hold equal parts, and that a small account still
// gets something.
func TestGreedyAccountsLeaveRoom(t *testing.T) {
	const limit, greedy = 1000 << 10, 60
	budget := New(limit)
	var accounts []*Account
	for range greedy {
		accounts = append(accounts, budget.NewAccount())
	}
	for progress := true; progress; {
		progress = false
		for _, account := range accounts {
			progress = account.Take(16) || progress
		}
	}
	for _, account := range accounts {
		if least := int64(limit / (freeBytesPerHeldByte + greedy) / 2); account.held < least {
			t.Errorf("an account holds %d bytes, want at least %d", account.held, least)
		}
	}
	if small := budget.NewAccount(); !small.Take(4 << 10) {
		t.Errorf("nothing is left for a small account; %d of %d bytes are held", budget.Held(), int64(limit))
	}
	for _, account := range accounts {
		account.Release(account.held)
	}
	if budget.held > 4<<10 {
		t.Errorf("%d bytes are held after the release", budget.held)
	}
}
