package operation

import (
	"fmt"
	"testing"
)

// testKey returns a key that was issued at the time in milliseconds.
func testKey(issuedMS int64, n int) string {
	hex := fmt.Sprintf("%012x", issuedMS)
	return fmt.Sprintf("%s-%s-7000-8000-%012x", hex[:8], hex[8:], n)
}

func testClaim(key, ticket string) *Claim {
	return &Claim{Workspace: "w", Service: "s", Key: key, Ticket: ticket}
}

func wantVerdict(t *testing.T, x *Index, key, ticket string, verdict Verdict) {
	t.Helper()
	claim, got := x.Lookup("w", "s", key)
	if got != verdict || claim.Ticket != ticket {
		t.Fatalf("lookup of %s: ticket %q, verdict %v; want %q, %v", key, claim.Ticket, got, ticket, verdict)
	}
}

// TestFirstClaimWins guards against two entries that run the same key under
// different tickets.
func TestFirstClaimWins(t *testing.T) {
	x := NewIndex(8)
	key := testKey(500_000, 1)
	wantVerdict(t, x, key, "", VerdictUnbound)
	x.Apply(1, 500_010, testClaim(key, "t1"))
	x.Apply(2, 500_020, testClaim(key, "t2"))
	wantVerdict(t, x, key, "t1", VerdictBound)
	if _, ok := x.Lookup("other", "s", key); ok != VerdictUnbound {
		t.Fatal("key of another workspace is bound")
	}
}

// TestKeyAfterRetentionIsRefused guards against a key that is bound a second
// time after the log or the index has forgotten its first claim.
func TestKeyAfterRetentionIsRefused(t *testing.T) {
	old, fresh := testKey(500_000, 1), testKey(700_000, 2)
	t.Run("log", func(t *testing.T) {
		x := NewIndex(8)
		x.Oldest(40)
		wantVerdict(t, x, fresh, "", VerdictUnvouched)
		x.Apply(40, 600_000, testClaim(old, "t2"))
		wantVerdict(t, x, old, "", VerdictUnvouched)
		x.Apply(41, 700_010, testClaim(fresh, "t3"))
		wantVerdict(t, x, fresh, "t3", VerdictBound)
	})
	t.Run("index", func(t *testing.T) {
		x := NewIndex(1)
		x.Apply(1, 500_010, testClaim(old, "t1"))
		x.Apply(2, 700_010, testClaim(fresh, "t2"))
		wantVerdict(t, x, old, "", VerdictUnvouched)
		x.Apply(3, 700_020, testClaim(old, "t3"))
		wantVerdict(t, x, old, "", VerdictUnvouched)
		wantVerdict(t, x, fresh, "t2", VerdictBound)
	})
}

// TestKeyFromTheFutureIsVoid guards against a key that outlives the claims
// because its time of issue is wrong.
func TestKeyFromTheFutureIsVoid(t *testing.T) {
	x := NewIndex(8)
	key := testKey(500_000+ClockSkewMS+1, 1)
	x.Apply(1, 500_000, testClaim(key, "t1"))
	wantVerdict(t, x, key, "", VerdictUnbound)
}

// TestKeyIssuedMS guards against keys without a time of issue.
func TestKeyIssuedMS(t *testing.T) {
	if ms, ok := KeyIssuedMS(testKey(1_700_000_000_123, 9)); !ok || ms != 1_700_000_000_123 {
		t.Fatalf("issued %d, %v", ms, ok)
	}
	for _, key := range []string{
		"", "order-17", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "018C0000-0000-7000-8000-000000000001",
		"018c0000-0000-7000-8000-00000000000g", "018c0000000007000-8000-000000000001-",
	} {
		if _, ok := KeyIssuedMS(key); ok {
			t.Errorf("key %q was accepted", key)
		}
	}
}
