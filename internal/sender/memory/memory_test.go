package memory

import "testing"

// TestGreedyAccountsLeaveRoom checks that accounts which take all they get hold equal parts, and that a small account still
// gets something although it is opened after they have taken it.
func TestGreedyAccountsLeaveRoom(t *testing.T) {
	const limit, greedy, freeUnitsPerHeldUnit = 1000 << 10, 60, 4
	budget := NewBudget(limit)
	holder := budget.NewHolder(limit)
	var accounts []*Account
	for range greedy {
		accounts = append(accounts, holder.NewAccount())
	}
	for progress := true; progress; {
		progress = false
		for _, account := range accounts {
			progress = account.Take(16) || progress
		}
	}
	for _, account := range accounts {
		if least := int64(limit / (freeUnitsPerHeldUnit + greedy) / 2); account.held < least {
			t.Errorf("an account holds %d bytes, want at least %d", account.held, least)
		}
	}
	if small := holder.NewAccount(); !small.TakeReserved(4 << 10) {
		t.Errorf("nothing is left for a small account; %d of %d bytes are held", budget.Held(), int64(limit))
	}
	for _, account := range accounts {
		account.Release(account.held)
	}
	if budget.Held() > 4<<10 {
		t.Errorf("%d bytes are held after the release", budget.held)
	}
}

// TestOwedLeavesLessRoom checks that what is added is held beyond the limit, and that nothing can be taken until it is
// released. A holder that holds nothing takes anything.
func TestOwedLeavesLessRoom(t *testing.T) {
	budget := NewBudget(100)
	owed, calls := budget.NewHolder(50), budget.NewHolder(50)
	if !calls.Take(70) || calls.Take(1) {
		t.Error("a holder that held nothing did not take 70 of 50 bytes, or it took more after that")
	}
	calls.Release(70)
	owed.Add(200)
	if owed.Take(1) || owed.TakeSpare(1) || calls.TakeSpare(1) || !calls.Take(50) {
		t.Errorf("%d of 100 bytes are held; want new work turned away, and calls taken", budget.Held())
	}
	owed.Release(200)
	if calls.Take(1) || !owed.TakeSpare(50) || owed.TakeSpare(1) || budget.Held() != budget.Limit() {
		t.Errorf("%d bytes are held after the release, want all 100", budget.Held())
	}
}
