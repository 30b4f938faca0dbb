/*
 * One keyed operation, up to two tickets for it, and the processes that could
 * run it twice or report it falsely as not run.
 *
 * An agent holds the ticket table. Two entries serve calls with the same key:
 * each reserves a ticket, claims it in the log, reads the log back, and runs
 * the ticket of the first claim, or cancels its own ticket when the claim does
 * not settle. Requests to the agent can be lost, doubled, late and crossed.
 * The agent can die, pause between its decision and its sending, and come back
 * as a new incarnation. Entries can die.
 *
 * A ticket has the number of the entry that reserved it. The end of an entry
 * process at any step stands for its crash.
 *
 * Properties: the key is executed at most once; a ticket that was reported as
 * not run is not executed before or after that report.
 */
/* mutants: RUN_TWICE CANCEL_RUNNING RUN_CANCELLED RUN_FOREIGN OWN_TICKET LAST_CLAIM NO_CANCEL CANCEL_UNCONFIRMED DEAD_NOT_RUN LOST_NOT_RUN CROSSED REPLAY */

#define ENTRIES 2
#define NONE 255
/* five processes start before the entries */
#define self (_pid - 5)

mtype = { reserved, running, done, cancelled };
mtype = { askRun, askCancel, notRun, other };

/* the agent's table, its incarnation, and the incarnation of each ticket */
mtype table[ENTRIES];
byte incarnation = 0;
byte issuedBy[ENTRIES];
bool issued[ENTRIES];

/* the claims stream: tickets in log order */
byte claims[ENTRIES];
byte claimCount = 0;

/* requests decided and not yet sent, and requests on the way to the backend */
byte deciding[ENTRIES];
byte onWay[ENTRIES];

byte executions = 0;
bool executed[ENTRIES];
bool toldNotRun[ENTRIES];

/* the requests to the agent and its answers; an answer names its ticket */
chan requests = [3] of { mtype, byte, byte };
chan answers[ENTRIES] = [2] of { mtype, byte };

bool doubled = false, crossed = false, crashed = false, replayed = false;
byte restarts = 0;

inline answer(entry, word, ticket) {
	if
	:: nfull(answers[entry]) -> answers[entry]!word, ticket
	:: true /* lost */
	fi
}

/* the only process that touches the table */
active proctype Agent() {
	mtype kind;
	byte ticket, entry;
end:
	do
	:: atomic { requests?kind, ticket, entry ->
		if
		/* a doubled request stays under way */
		:: !doubled && nfull(requests) -> doubled = true; requests!kind, ticket, entry
		:: true
		fi;
		if
#ifdef RUN_FOREIGN
		:: kind == askRun && issuedBy[ticket] != incarnation ->
			table[ticket] = running; deciding[ticket]++
#else
		:: issuedBy[ticket] != incarnation ->
			/* a lost table can't tell whether the ticket ran */
#ifdef DEAD_NOT_RUN
			answer(entry, notRun, ticket)
#else
			answer(entry, other, ticket)
#endif
#endif
		:: issuedBy[ticket] == incarnation ->
			if
			:: kind == askRun && table[ticket] == reserved ->
				table[ticket] = running; deciding[ticket]++
#ifdef RUN_TWICE
			:: kind == askRun && (table[ticket] == running || table[ticket] == done) ->
				deciding[ticket]++
#else
			:: kind == askRun && (table[ticket] == running || table[ticket] == done) ->
				answer(entry, other, ticket)
#endif
#ifdef RUN_CANCELLED
			:: kind == askRun && table[ticket] == cancelled ->
				table[ticket] = running; deciding[ticket]++
#else
			:: kind == askRun && table[ticket] == cancelled ->
				answer(entry, notRun, ticket)
#endif
			:: kind == askCancel && (table[ticket] == reserved || table[ticket] == cancelled) ->
				table[ticket] = cancelled; answer(entry, notRun, ticket)
#ifdef CANCEL_RUNNING
			:: kind == askCancel && (table[ticket] == running || table[ticket] == done) ->
				table[ticket] = cancelled; answer(entry, notRun, ticket)
#else
			:: kind == askCancel && (table[ticket] == running || table[ticket] == done) ->
				answer(entry, other, ticket)
#endif
			fi
#ifdef RUN_FOREIGN
		:: kind == askCancel && issuedBy[ticket] != incarnation -> answer(entry, other, ticket)
#endif
		fi;
		kind = 0; ticket = 0; entry = 0
	   }
	od
}

/* sends what the agent decided, any time later: a paused agent resumes here */
active proctype Sender() {
end:
	do
	:: atomic { deciding[0] > 0 -> deciding[0]--; onWay[0]++ }
	:: atomic { deciding[1] > 0 -> deciding[1]--; onWay[1]++ }
	od
}

inline execute(ticket) {
	onWay[ticket]--;
#ifdef REPLAY
	/* a transport that replays a request on a reused connection */
	if
	:: !replayed -> replayed = true; onWay[ticket]++
	:: true
	fi;
#endif
	executions++;
	executed[ticket] = true;
	assert(executions <= 1);
	assert(!toldNotRun[ticket]);
	if
	:: table[ticket] == running && issuedBy[ticket] == incarnation -> table[ticket] = done
	:: else
	fi
}

active proctype Backend() {
end:
	do
	:: atomic { onWay[0] > 0 -> execute(0) }
	:: atomic { onWay[1] > 0 -> execute(1) }
	od
}

/* the agent dies once: decided requests die with it, sent ones live on */
active proctype AgentCrash() {
	if
	:: atomic { true ->
		incarnation++; deciding[0] = 0; deciding[1] = 0; crashed = true
	   }
	:: true
	fi
}

/* answers to the two entries change places once */
active proctype Crossing() {
	mtype a, b;
	byte ta, tb;
	if
	:: atomic { nempty(answers[0]) && nempty(answers[1]) ->
		answers[0]?a, ta; answers[1]?b, tb;
		answers[0]!b, tb; answers[1]!a, ta; crossed = true;
		a = 0; b = 0; ta = 0; tb = 0
	   }
	:: true
	fi
}

inline tellNotRun(ticket) {
	assert(!executed[ticket]);
	toldNotRun[ticket] = true
}

/* waits for an answer that names the ticket, or gives up */
inline await(ticket, word) {
	word = other;
	do
	:: answers[self]?word, got ->
#ifdef CROSSED
		break
#else
		if
		:: got == ticket -> break
		:: else -> word = other
		fi
#endif
	:: true -> word = other; break
	od;
	got = 0
}

/* An entry serves a first use of the key or a repetition. A crash is the end
 * of the process at any step, which the other entry can't tell from silence. */
active [ENTRIES] proctype Entry() {
	mtype word;
	byte bound = NONE, got = 0;
	bool settled = false;

	/* reserve */
	atomic { table[self] = reserved; issuedBy[self] = incarnation; issued[self] = true };
	/* claim: the append takes effect and its answer may be lost, or it fails */
	if
	:: atomic { claims[claimCount] = self; claimCount++ }
	:: true -> goto unsettled
	fi;
	if
	:: true -> settled = true
	:: true -> goto unsettled
	:: true -> goto stop
	fi;
bind:
	/* the first claim in log order */
#ifdef OWN_TICKET
	bound = self;
#else
#ifdef LAST_CLAIM
	bound = claims[claimCount - 1];
#else
	bound = claims[0];
#endif
#endif
	/* a run may be repeated, and the entry may die before and after it */
	if
	:: true -> goto stop
	:: nfull(requests) -> requests!askRun, bound, self
	fi;
	await(bound, word);
	if
	:: word == notRun -> atomic { tellNotRun(bound) }
#ifdef LOST_NOT_RUN
	:: word != notRun -> atomic { tellNotRun(bound) }
#else
	:: word != notRun /* completed, failed or unknown */
#endif
	fi;
	goto stop;
unsettled:
#ifdef NO_CANCEL
	atomic { tellNotRun(self) };
	goto stop;
#else
	if
	:: true -> goto stop
	:: nfull(requests) -> requests!askCancel, self, self
	fi;
	await(self, word);
	if
	:: word == notRun -> atomic { tellNotRun(self) }
#ifdef CANCEL_UNCONFIRMED
	:: word != notRun -> atomic { tellNotRun(self) }
#else
	:: word != notRun
#endif
	fi;
#endif
stop:
	word = 0; bound = 0; got = 0; settled = false
}
