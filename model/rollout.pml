/* Version state of one VM: an agent, its successor at the same address, the
 * model engine, and the load orders between them.
 *
 * Property: no answer comes from a version other than the one that was
 * admitted, and none from a version that was not whole and confirmed.
 *
 * Assumptions:
 *  - Agents of one VM share a listen address. A successor starts only after
 *    its predecessor's socket is gone; a predecessor that was paused may
 *    still have orders in flight, but gives none after its socket is gone.
 *    Its requests and its status checks end with it.
 *  - The engine's connections end when it restarts, and with them all orders
 *    in flight.
 *  - checks: the engine refuses an order with an older fence. Orders may be
 *    lost, repeated and arbitrarily late. A successor's fence is larger than
 *    its predecessor's at the same settings offset because it starts later;
 *    the model adds 1 to the offset for that.
 *  - !checks: the engine ignores fences. Proved only if no order of a dead
 *    predecessor arrives after its successor's first order, and no copy of an
 *    order arrives once the agent knows that the engine received it. Without
 *    that, the check of the version at the end of an answer turns a mixed
 *    answer into an error; see OUTSIDE.
 */
/* mutants: NO_CONFIRM NO_DRAIN NO_STOP NO_WHOLE NO_STATE NO_SETTLE NO_FENCE NO_ORDERS NO_REPEAT OUTSIDE */
/* pan: -m2000000 */

/* Versions are 1 and 2; 0 means none. */
#define ORDERS   3   /* load orders that are ever given */
#define CHANGES  3   /* settings changes */

/* Guards; each mutant removes one. */
#ifdef NO_WHOLE
#define WHOLE true
#else
#define WHOLE whole
#endif
#ifdef NO_DRAIN
#define DRAINED true
#else
#define DRAINED (request == 0)
#endif
#ifdef NO_STOP
#define STOPPED true
#else
#define STOPPED (!serving)
#endif
#ifdef NO_SETTLE
#define SETTLED true
#else
#define SETTLED (checks || settled)
#endif
#ifdef NO_FENCE
#define OLD_FENCE false
#else
#define OLD_FENCE (checks && order_fence[k] < fence)
#endif
#ifdef NO_ORDERS
#define RECENT true
#else
#define RECENT (report_orders == given)
#endif
#ifdef NO_CONFIRM
#define CONFIRMED true
#else
#define CONFIRMED (report_version == ordered && (!checks || report_fence == order_now))
#endif
#ifdef NO_REPEAT
#define REPEATED offset
#else
#define REPEATED order_now
#endif
#ifdef NO_STATE
#define ADMITS true
#else
#define ADMITS serving
#endif

bool checks;          /* the engine refuses old fences */

/* Settings: the offset is the number of changes so far. */
byte offset = 0, intended = 0;

/* Engine. */
byte engine = 0;      /* version that answers; 0 while empty or loading */
byte loading = 0;
byte fence = 0;

/* Orders in flight. */
byte copies[ORDERS], order_version[ORDERS], order_fence[ORDERS];
byte given = 0;

/* Agent. */
byte target = 0;      /* version being fetched; 0 means none */
bool whole = false;   /* all hashes of target hold */
byte ordered = 0;     /* version of the last order */
byte ordered_whole = 0;
bool serving = false, retiring = false, settled = true, waits = false;
byte order_now = 0;   /* fence of the last order */

/* Status report in flight: number of orders when it was asked for. */
bool report = false;
byte report_version, report_orders, report_fence;

/* One request in flight. */
byte request = 0;

inline forget_orders() {
	copies[0] = 0; copies[1] = 0; copies[2] = 0
}

/* forget_settled is the assumption on engines that ignore fences. */
inline forget_settled() {
	if
#ifndef OUTSIDE
	:: !checks -> forget_orders()
#endif
	:: else
	fi
}

inline give(number) {
	d_step {
		copies[given] = 2;
		order_version[given] = ordered;
		order_fence[given] = number;
		order_now = number;
		given++;
		settled = false;
		waits = true
	}
}

active proctype settings_log() {
	byte changes = 0;
	do
	:: changes < CHANGES ->
		atomic {
			changes++;
			offset++;
			if
			:: intended = 1
			:: intended = 2
			fi;
			if
			:: intended == ordered ->
				target = 0; whole = false;
				if
				:: retiring -> retiring = false; serving = true
				:: else
				fi
			:: intended != ordered && intended != target ->
				if
				:: retiring -> retiring = false; serving = true
				:: else
				fi;
				target = intended; whole = false
			:: else
			fi
		}
	:: else -> break
	od
}

active proctype agent() {
	if
	:: checks = true
	:: checks = false
	fi;
	do
	:: atomic { target != 0 && !whole -> whole = true }
	:: atomic { target != 0 && WHOLE && serving -> serving = false; retiring = true }
	:: atomic { target != 0 && WHOLE && STOPPED && DRAINED && SETTLED && given < ORDERS ->
		ordered = target; ordered_whole = whole; retiring = false;
		target = 0; whole = false;
		give(offset)
	   }
	:: atomic { ordered != 0 && !serving && !retiring && waits && given < ORDERS && request == 0 -> give(REPEATED) }
	:: atomic { ordered != 0 && !report -> /* a status check is answered */
		report = true; report_version = engine; report_orders = given; report_fence = fence
	   }
	:: atomic { report -> /* and its answer arrives */
		report = false;
		if
		:: !RECENT
		:: RECENT && ordered != 0 ->
			if
			:: report_fence == order_now || report_version == ordered ->
				settled = true;
				forget_settled()
			:: else
			fi;
			if
			:: CONFIRMED ->
				if
				:: !retiring -> serving = true; waits = false
				:: else
				fi
			:: else -> serving = false; retiring = false; waits = true
			fi
		:: else
		fi
	   }
	:: atomic { request == 0 && ordered != 0 && ADMITS -> /* a request is admitted */
		assert(ordered_whole);
		request = ordered
	   }
	:: atomic { ordered != 0 -> /* the agent is replaced; requests in flight break */
		serving = false; retiring = false; ordered = 0; settled = true; waits = false;
		target = intended; whole = false; request = 0; report = false;
		offset++;
		forget_settled()
	   }
	:: atomic { given == ORDERS && !report -> skip }
	od
}

active proctype model_engine() {
	byte k;
	do
	:: atomic { /* a copy of some order arrives */
		if
		:: copies[0] > 0 -> k = 0
		:: copies[1] > 0 -> k = 1
		:: copies[2] > 0 -> k = 2
		fi;
		copies[k]--;
		if /* the answer reaches the agent or is lost */
		:: k + 1 == given && ordered != 0 -> settled = true; forget_settled()
		:: skip
		fi;
		if
		:: OLD_FENCE
		:: !OLD_FENCE ->
			fence = order_fence[k];
			if
			:: engine != order_version[k] -> engine = 0; loading = order_version[k]
			:: else
			fi
		fi;
		k = 0
	   }
	:: atomic { copies[0] > 0 -> copies[0] = 0 } /* orders are lost */
	:: atomic { copies[1] > 0 -> copies[1] = 0 }
	:: atomic { copies[2] > 0 -> copies[2] = 0 }
	:: atomic { loading != 0 -> engine = loading; loading = 0 }
	:: atomic { engine != 0 -> /* the engine restarts; its connections break */
		engine = 0; loading = 0; fence = 0; request = 0; forget_orders()
	   }
	:: atomic { request != 0 && engine != 0 -> assert(engine == request) } /* a token */
	:: atomic { request != 0 -> request = 0 }
	od
}
