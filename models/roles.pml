/* Model of the role lease, its fencing token ("fence") and the write-ahead intents
 * (docs/design/roles.md). There are two controllers, either of which may lead, one machine that is
 * no longer needed, and a need for one more machine.
 *
 * The model covers:
 *   - leadership that expires by the holder's own clock before the leader lease expires
 *   - a role record with its holder and a fence that increases with every change
 *   - transactions that move the role to the other controller and back, executed late or lost
 *   - role assignments that expire by the helper's clock
 *   - records that are written only if term and fence are unchanged
 *   - a pause of any length between two steps
 *   - a cloud that executes provisioning and release requests at any time, and whose replies are lost
 *
 * Each macro below breaks one rule; an assertion must fail in each of these variants:
 *   NO_RECORD       release and provisioning requests are sent before they are recorded
 *   NO_FENCE        records are written even if term or fence has changed
 *   NO_REPEAT       a successor repeats a recorded provisioning request under a new name
 *   EARLY_END       the leader lease expires while its holder may still act
 *   ASSIGN_EARLY    the helper is assigned the role before the leader knows that the role has moved
 *   TAKE_EARLY      the leader takes the role back before the helper's assignment has expired
 *   ASSIGN_TAKEN    the helper is assigned the role while a transaction that takes it back is pending
 */
#define TERMS 3
#define FENCES 4

byte term = 0, leader = 0; /* leader 0: nobody holds the leader key */
bool leads[3];             /* leadership by the controller's own clock */

byte fence = 0, holder = 0; /* the role record; holder 0: the role is vacant */
bool on_leader_lease = false; /* the record expires with the leader's lease, not a helper's */
bool assigned[3];           /* the assignment is valid by the helper's own clock */
byte assigned_fence[3];     /* the fence of the assignment */
byte late_move = 0, move_to = 0; /* a pending move of the role, conditional on the fence late_move */
byte late_take = 0, take_to = 0, take_term = 0; /* a pending transaction that takes the role back */

bool releasing = false, gone = false, going = false; /* the machine's release: recorded, executed, requested */
byte work = 0;                                     /* the term that placed work on the machine */

byte request = 0; /* the recorded provisioning request: its name is the term that created it */
bool sent[TERMS + 1], provisioned[TERMS + 1];
byte machines = 0;

/* Pending transactions that write the records, with the term and fence of their conditions. */
byte release_term = 0, release_fence = 0, request_term = 0, request_fence = 0;
#ifdef NO_FENCE
#define ON_CONDITION(t, f) (true)
#else
#define ON_CONDITION(t, f) (term == t && fence == f)
#endif

#ifdef NO_RECORD
#define RECORDED(what) (true)
#else
#define RECORDED(what) (what)
#endif

#ifdef TAKE_EARLY
#define ASSIGNMENTS_OVER(i) (true)
#else
#define ASSIGNMENTS_OVER(i) (!assigned[i])
#endif

#ifdef ASSIGN_TAKEN
#define NOT_TAKEN(f) (true)
#else
#define NOT_TAKEN(f) (f != took)
#endif

#ifdef EARLY_END
#define TERM_OVER (true)
#else
#define TERM_OVER (!leads[leader])
#endif

/* Whether controller i may act under the role as the leader. At most one controller may act. */
#define MAY_AS_LEADER(i) (leads[i] && acts[i])
bool acts[3];

proctype Controller(byte me) {
    byte mine = 0;  /* the controller's term */
    byte knows = 0; /* the last fence that this leader has read or written */
    byte took = 0;  /* the fence at which this leader last requested to take the role back */
    bool knows_releasing = false;
    byte knows_request = 0;

end:
    do
    /* The controller acquires the leader key and reads the records. */
    :: atomic { leader == 0 && term < TERMS && !leads[me] ->
           term++; leader = me; leads[me] = true; mine = term; acts[me] = false;
           assigned[me] = false; /* a helper that becomes leader ends its assignment */
           knows = fence; took = 0; knows_releasing = releasing; knows_request = request }
    :: atomic { leads[me] -> leads[me] = false; acts[me] = false; mine = 0 }

    /* The leader claims a vacant role if its term has not changed. */
    :: atomic { leads[me] && leader == me && holder == 0 && fence < FENCES ->
           fence++; holder = me; on_leader_lease = true; knows = fence; acts[me] = true }
    /* The leader moves the role to the helper. It stops acting when it sends the transaction. */
    :: atomic { leads[me] && acts[me] && late_move == 0 && fence < FENCES ->
           acts[me] = false; late_move = knows; move_to = 3 - me;
#ifdef ASSIGN_EARLY
           assigned[3 - me] = true; assigned_fence[3 - me] = knows + 1
#endif
       }
    /* The leader reads the role record after a move: it still holds the role, or the helper does. */
    :: atomic { leads[me] && leader == me && holder == me && on_leader_lease && !acts[me] ->
           knows = fence; acts[me] = true }
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_leader_lease && !acts[me] ->
           knows = fence }
    /* The leader assigns the role to its helper repeatedly. */
    :: atomic { leads[me] && !acts[me] && knows == fence && holder == 3 - me && !on_leader_lease && NOT_TAKEN(knows) ->
           assigned[3 - me] = true; assigned_fence[3 - me] = knows }
    :: atomic { assigned[me] -> assigned[me] = false } /* expires by its own clock */
    /* The leader takes the role back after the helper's assignment must have expired. */
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_leader_lease && knows == fence &&
           late_take == 0 && ASSIGNMENTS_OVER(3 - me) ->
           late_take = fence; take_to = me; take_term = mine; took = fence }

    /* Work is placed on the machine unless its release is known. The checkpoint is conditional on the term. */
    :: leads[me] && !gone && work == 0 && !knows_releasing ->
           atomic { if :: leader == me && term == mine -> work = mine :: else -> skip fi }
    /* Or the machine is to be released. This is recorded first, and no work is placed on it from now on. */
    :: atomic { leads[me] && !gone && work == 0 && !knows_releasing && release_term == 0 ->
           knows_releasing = true; release_term = mine; release_fence = knows }
    /* One more machine is needed. The provisioning request is recorded first. */
    :: atomic { leads[me] && machines == 0 && knows_request == 0 && request_term == 0 ->
           knows_request = mine; request_term = mine; request_fence = knows }
    /* The controller that has the role sends recorded requests, and repeats them. */
    :: atomic { leads[me] && knows_releasing && RECORDED(releasing) && !gone && MAY_AS_LEADER(me) ->
           assert(!assigned[3 - me]); going = true }
    :: atomic { leads[me] && knows_releasing && RECORDED(releasing) && !gone && assigned[3 - me] && assigned_fence[3 - me] == knows ->
           assert(!MAY_AS_LEADER(me)); going = true }
    :: atomic { leads[me] && machines == 0 && knows_request != 0 && RECORDED(request == knows_request) &&
           MAY_AS_LEADER(me) ->
           assert(!assigned[3 - me] && !MAY_AS_LEADER(3 - me));
#ifdef NO_REPEAT
           sent[mine] = true
#else
           sent[knows_request] = true
#endif
       }
    od
}

proctype Environment() {
end:
    do
    /* Leases expire, after they have expired by their holders' clocks. */
    :: atomic { leader != 0 && TERM_OVER -> if :: holder == leader && on_leader_lease -> holder = 0 :: else -> skip fi; leader = 0 }
    :: atomic { holder != 0 && !on_leader_lease && !assigned[holder] -> holder = 0 }
    /* A move is executed late if the fence has not changed, or is lost. The same holds for taking back. */
    :: atomic { late_move != 0 && holder != 0 && fence == late_move && on_leader_lease &&
           fence < FENCES -> fence++; holder = move_to; on_leader_lease = false; late_move = 0 }
    :: atomic { late_move != 0 -> late_move = 0 }
    :: atomic { late_take != 0 && holder != 0 && fence == late_take && !on_leader_lease && term == take_term &&
           leader == take_to && fence < FENCES ->
           fence++; holder = take_to; on_leader_lease = true; late_take = 0 }
    :: atomic { late_take != 0 -> late_take = 0 }
    /* Records are written late if term and fence have not changed, or are lost. */
    :: atomic { release_term != 0 && ON_CONDITION(release_term, release_fence) ->
           releasing = true; release_term = 0 }
    :: atomic { release_term != 0 -> release_term = 0 }
    :: atomic { request_term != 0 && ON_CONDITION(request_term, request_fence) ->
           request = request_term; request_term = 0 }
    :: atomic { request_term != 0 -> request_term = 0 }
    /* The cloud executes the requests that it received. */
    :: atomic { going && !gone -> assert(work == 0); gone = true }
    :: atomic { sent[1] && !provisioned[1] -> provisioned[1] = true; machines++; assert(machines == 1) }
    :: atomic { sent[2] && !provisioned[2] -> provisioned[2] = true; machines++; assert(machines == 1) }
    :: atomic { sent[3] && !provisioned[3] -> provisioned[3] = true; machines++; assert(machines == 1) }
    od
}

init {
    atomic {
        run Controller(1);
        run Controller(2);
        run Environment()
    }
}
