package operation

import (
	"fmt"
	"testing"
)

// testKey returns the nth key that was issued at the time issuedMS.
func testKey(issuedMS int64, n int) string {
	hex := fmt.Sprintf("%012x", issuedMS)
	return fmt.Sprintf("%s-%s-7000-8000-%012x", hex[:8], hex[8:], n)
}

func testClaim(key, ticket string) *Claim {
	return &Claim{Workspace: "w", Service: "s", Key: key, Ticket: ticket}
}

func requireKeyState(t *testing.T, x *Index, key, ticket string, state KeyState) {
	t.Helper()
	claim, got := x.Lookup("w", "s", key)
	if got != state || claim.Ticket != ticket {
		t.Fatalf("lookup of %s: ticket %q, state %v; want %q, %v", key, claim.Ticket, got, ticket, state)
	}
}

// TestFirstClaimWins guards against two entries that run the same key under
// different tickets.
func TestFirstClaimWins(t *testing.T) {
	x := NewIndex(8)
	key := testKey(500_000, 1)
	requireKeyState(t, x, key, "", KeyUnbound)
	x.Apply(1, 500_010, testClaim(key, "t1"))
	x.Apply(2, 500_020, testClaim(key, "t2"))
	requireKeyState(t, x, key, "t1", KeyBound)
	if _, ok := x.Lookup("other", "s", key); ok != KeyUnbound {
		t.Fatal("claim bound the same key in another workspace")
	}
}

// TestKeyAfterRetentionIsRefused guards against a key that is bound a second
// time after the log has trimmed or the index has evicted its first claim.
func TestKeyAfterRetentionIsRefused(t *testing.T) {
	old, fresh := testKey(500_000, 1), testKey(700_000, 2)
	t.Run("log", func(t *testing.T) {
		x := NewIndex(8)
		x.SkipTo(40)
		requireKeyState(t, x, fresh, "", KeyUnknown)
		x.Apply(40, 600_000, testClaim(old, "t2"))
		requireKeyState(t, x, old, "", KeyUnknown)
		x.Apply(41, 700_010, testClaim(fresh, "t3"))
		requireKeyState(t, x, fresh, "t3", KeyBound)
	})
	t.Run("index", func(t *testing.T) {
		x := NewIndex(1)
		x.Apply(1, 500_010, testClaim(old, "t1"))
		x.Apply(2, 700_010, testClaim(fresh, "t2"))
		requireKeyState(t, x, old, "", KeyUnknown)
		x.Apply(3, 700_020, testClaim(old, "t3"))
		requireKeyState(t, x, old, "", KeyUnknown)
		requireKeyState(t, x, fresh, "t2", KeyBound)
	})
}

// TestKeyFromTheFutureIsVoid guards against a key whose time of issue is so
// far in the future that the key would still count as recent after its first
// claim is gone.
func TestKeyFromTheFutureIsVoid(t *testing.T) {
	x := NewIndex(8)
	key := testKey(500_000+ClockSkewMS+1, 1)
	x.Apply(1, 500_000, testClaim(key, "t1"))
	requireKeyState(t, x, key, "", KeyUnbound)
}

// TestKeyIssuedMS guards against malformed keys that are accepted and against
// a wrong time of issue.
func TestKeyIssuedMS(t *testing.T) {
	if ms, ok := KeyIssuedMS(testKey(1_700_000_000_123, 9)); !ok || ms != 1_700_000_000_123 {
		t.Fatalf("KeyIssuedMS returned %d, %v", ms, ok)
	}
	for _, key := range []string{
		"", "order-17", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "018C0000-0000-7000-8000-000000000001",
		"018c0000-0000-7000-8000-00000000000g", "018c0000000007000-8000-000000000001-",
	} {
		if _, ok := KeyIssuedMS(key); ok {
			t.Errorf("malformed key %q was accepted", key)
		}
	}
}
