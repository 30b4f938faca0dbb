/*
 * Settings: the fold of the settings log, racing writers, snapshots, the
 * retention of the log, peers and restarts.
 *
 * One key stands for all keys. The state of an entry is (off, rev): the last
 * folded offset and the offset of the current revision. truth[o] is the
 * revision after offset o as a reader of the whole log has it. An entry that
 * does not step for a while stands for an outage of the log or an answer of
 * a lagging replica.
 *
 * Properties, as assertions:
 *  - the same prefix gives the same verdicts: rev equals truth[off];
 *  - of records with the same base one is accepted;
 *  - the offset in force never decreases, and after a restart it is not below
 *    that of the incarnation before if a live peer still has that in force;
 *  - when nothing more can happen, a state that a live entry holds can be
 *    read from the log by a new entry.
 */
/* mutants: NOCAS NODIGEST NOGAP NOREAPPEND NOMONOTONE NOGATE */
/* pan: -m100000 */

#define N 6		/* offsets */
#define EXPIRIES 1	/* times that the retention ends for some records */
#define RESTARTS 1

#define DOCUMENT 1
#define SNAPSHOT 2

byte next = 1, oldest = 1;
byte kind[N + 1], base[N + 1], covers[N + 1], content[N + 1], truth[N + 1];
bool valid[N + 1], used[N + 1];

byte off[2], rev[2], force[2], frev[2], before[2];
bool live[2], started[2], planned[2];
byte restarts;

#ifdef NOCAS
#define ACCEPTED(o, r) (true)
#else
#define ACCEPTED(o, r) (base[o] == r)
#endif

#ifdef NODIGEST
#define INTACT(o) (true)
#else
#define INTACT(o) (valid[o])
#endif

#define USABLE(o) (o >= oldest && o < next && kind[o] == SNAPSHOT && INTACT(o) && covers[o] + 1 >= oldest)
#define ANY_USABLE (USABLE(1) || USABLE(2) || USABLE(3) || USABLE(4) || USABLE(5) || USABLE(6))
#define HOLDS(i) (live[i] && off[i] + 1 >= oldest)
#define GAP(i) (off[i] + 1 < oldest)

/* append folds a new record into the truth. */
inline append() {
	truth[next] = truth[next - 1];
	if
	:: kind[next] == DOCUMENT && ACCEPTED(next, truth[next - 1]) ->
		assert(!used[base[next]]);
		used[base[next]] = true;
		truth[next] = next
	:: else
	fi;
	next++
}

proctype Operator() {
	byte seen;
	seen = truth[next - 1];
end:
	atomic {
		next <= N ->
		kind[next] = DOCUMENT;
		base[next] = seen;
		append()
	}
	seen = 0
}

/* A damaged snapshot does not match its digest. */
proctype Damage() {
	if
	:: atomic {
		next > 1 && next <= N ->
		kind[next] = SNAPSHOT;
		covers[next] = next - 1;
		content[next] = N;
		valid[next] = false;
		append()
	}
	:: true
	fi
}

proctype Retention() {
	byte times;
	do
	:: atomic { times < EXPIRIES && oldest < next ->
		times++;
		oldest++;
		do
		:: oldest < next -> oldest++
		:: break
		od
	}
	:: break
	od;
	times = 0
}

inline adopt(i, o, r) {
	off[i] = o;
	rev[i] = r;
	assert(rev[i] == truth[off[i]])
}

proctype Entry(byte i) {
	byte peer = 1 - i, o;
end:
	do
	/* Fold the next record. */
	:: atomic { live[i] && !GAP(i) && off[i] + 1 < next ->
		o = off[i] + 1;
		if
		:: kind[o] == DOCUMENT && ACCEPTED(o, rev[i]) -> rev[i] = o
		:: else
		fi;
		off[i] = o;
		assert(rev[i] == truth[o]);
		o = 0
	}
	/* Close a gap with a snapshot of the log. */
	:: atomic { live[i] && GAP(i) && ANY_USABLE ->
		o = 1;
		do
		:: USABLE(o) -> break
		:: !USABLE(o) -> o++
		od;
		adopt(i, covers[o], content[o]);
		o = 0
	}
#ifdef NOGAP
	/* Without the guard a process goes on with the oldest record. */
	:: atomic { live[i] && GAP(i) -> off[i] = oldest - 1 }
#endif
	/* A started entry takes a peer's state when the log fails it. */
	:: atomic { live[i] && started[i] && live[peer] &&
#ifdef NOMONOTONE
		force[peer] != off[i] && force[peer] > 0 ->
#else
		force[peer] > off[i] ->
#endif
		adopt(i, force[peer], frev[peer])
	}
	/* A starting entry asks its peer before anything is in force. */
	:: atomic { live[i] && !started[i] ->
#ifndef NOGATE
		if
		:: live[peer] && force[peer] > off[i] -> adopt(i, force[peer], frev[peer])
		:: else
		fi;
#endif
		started[i] = true;
		if
		:: off[i] > 0 && live[peer] && force[peer] >= before[i] ->
			assert(off[i] >= before[i])
		:: else
		fi
	}
	:: atomic { live[i] && started[i] &&
#ifdef NOMONOTONE
		off[i] != force[i] ->
#else
		off[i] > force[i] ->
#endif
		assert(off[i] >= force[i]);
		force[i] = off[i];
		frev[i] = rev[i];
		assert(frev[i] == truth[force[i]])
	}
#ifndef NOREAPPEND
	/* Plan a snapshot; after the random wait append it, perhaps twice. */
	:: atomic { live[i] && started[i] && !planned[i] && oldest > 1 && !ANY_USABLE && off[i] + 1 == next && next <= N ->
		planned[i] = true
	}
	:: atomic { live[i] && planned[i] && next <= N ->
		kind[next] = SNAPSHOT;
		covers[next] = off[i];
		content[next] = rev[i];
		valid[next] = true;
		append();
		planned[i] = false
	}
#endif
	/* The process dies and is replaced. One entry stands for both. */
	:: atomic { i == 1 && live[i] && restarts < RESTARTS ->
		restarts++;
		before[i] = force[i];
		live[i] = false;
		off[i] = 0; rev[i] = 0; force[i] = 0; frev[i] = 0;
		started[i] = false; planned[i] = false
	}
	:: atomic { !live[i] -> live[i] = true }
	od
}

init {
	atomic {
		live[0] = true;
		live[1] = true;
		run Operator();
		run Operator();
		run Damage();
		run Retention();
		run Entry(0);
		run Entry(1)
	}
	/* Nothing more can happen. */
	timeout ->
	if
	:: next <= N && (HOLDS(0) || HOLDS(1)) ->
		assert(oldest == 1 || ANY_USABLE);
		assert(!HOLDS(0) || off[0] + 1 == next);
		assert(!HOLDS(1) || off[1] + 1 == next)
	:: else
	fi
}
