/* The role lease, its fence and the intents written ahead (docs/design/roles.md), for two
 * controllers of which either may lead, one machine that is not needed, and a need for one more.
 *
 * What is modelled: leadership as a right that its holder's own clock ends before the lease ends; a
 * role's record with its holder and a fence that rises with every change; the move of the role to
 * the other controller and back, whose transactions may be executed late or lost; role assignments that end by the
 * helper's clock; records written on condition of term and fence; a pause between any two steps; a
 * cloud that executes provisioning requests and returns whenever it likes, and whose answers nobody hears.
 *
 * Broken on purpose, one at a time; each must be found:
 *   NO_RECORD       returns and provisioning requests are sent without being on record
 *   NO_FENCE        records are written whatever term and fence are by then
 *   NO_REPEAT       a successor provisions under a name of its own what is on record already
 *   EARLY_END       the leader's lease ends while it may still act
 *   ASSIGN_EARLY    the helper is assigned the role before the leader knows that the role is moved
 *   TAKE_EARLY      the leader takes a role back while the helper's assignment may last
 *   ASSIGN_TAKEN    the helper is assigned the role while a taking back from it may yet be executed
 */
#define TERMS 3
#define FENCES 4

byte term = 0, leader = 0; /* leader 0: the leader key is free */
bool leads[3];             /* by the controller's own clock */

byte fence = 0, holder = 0; /* the role's record; holder 0: there is none */
bool on_leader_lease = false; /* it hangs on the leader's lease, not on a helper's */
bool assigned[3];           /* lasts, by the helper's own clock */
byte assigned_fence[3];     /* the fence that it names */
byte late_move = 0, move_to = 0; /* a transaction under way that moves the role from that fence */
byte late_take = 0, take_to = 0, take_term = 0; /* and one that takes it back */

bool releasing = false, gone = false, going = false; /* the machine: on record, gone, asked for */
byte work = 0;                                     /* the term that placed work on it */

byte request = 0; /* on record: its name, which is the term that made it */
bool sent[TERMS + 1], provisioned[TERMS + 1];
byte machines = 0;

/* Transactions under way that write the records, with the term and fence that they name. */
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

/* Whoever acts under the role at this moment is the only one who may. */
#define MAY_AS_LEADER(i) (leads[i] && acts[i])
bool acts[3];

proctype Controller(byte me) {
    byte mine = 0;  /* its term */
    byte knows = 0; /* the role's fence as this leader knows it */
    byte took = 0;  /* the fence from which it has asked to take the role back */
    bool knows_releasing = false;
    byte knows_request = 0;

end:
    do
    /* It takes the leader key, and reads what is on record. */
    :: atomic { leader == 0 && term < TERMS && !leads[me] ->
           term++; leader = me; leads[me] = true; mine = term; acts[me] = false;
           assigned[me] = false; /* a helper that leads lets go */
           knows = fence; took = 0; knows_releasing = releasing; knows_request = request }
    :: atomic { leads[me] -> leads[me] = false; acts[me] = false; mine = 0 }

    /* The role is vacant: claimed, on condition of the term. */
    :: atomic { leads[me] && leader == me && holder == 0 && fence < FENCES ->
           fence++; holder = me; on_leader_lease = true; knows = fence; acts[me] = true }
    /* It moves to the helper: nothing is done under it from the sending on. */
    :: atomic { leads[me] && acts[me] && late_move == 0 && fence < FENCES ->
           acts[me] = false; late_move = knows; move_to = 3 - me;
#ifdef ASSIGN_EARLY
           assigned[3 - me] = true; assigned_fence[3 - me] = knows + 1
#endif
       }
    /* What became of it is read: its own as before, or the other's. */
    :: atomic { leads[me] && leader == me && holder == me && on_leader_lease && !acts[me] ->
           knows = fence; acts[me] = true }
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_leader_lease && !acts[me] ->
           knows = fence }
    /* Its helper is assigned the role, again and again. */
    :: atomic { leads[me] && !acts[me] && knows == fence && holder == 3 - me && !on_leader_lease && NOT_TAKEN(knows) ->
           assigned[3 - me] = true; assigned_fence[3 - me] = knows }
    :: atomic { assigned[me] -> assigned[me] = false } /* by its own clock */
    /* Taken back once role assignments must be over. */
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_leader_lease && knows == fence &&
           late_take == 0 && ASSIGNMENTS_OVER(3 - me) ->
           late_take = fence; take_to = me; take_term = mine; took = fence }

    /* Work is placed on the machine, if it is not known to leave; its checkpoint is conditional. */
    :: leads[me] && !gone && work == 0 && !knows_releasing ->
           atomic { if :: leader == me && term == mine -> work = mine :: else -> skip fi }
    /* Or it is to go back, and nothing is placed on it from here on: on record first. */
    :: atomic { leads[me] && !gone && work == 0 && !knows_releasing && release_term == 0 ->
           knows_releasing = true; release_term = mine; release_fence = knows }
    /* One more is needed: a request is written down. */
    :: atomic { leads[me] && machines == 0 && knows_request == 0 && request_term == 0 ->
           knows_request = mine; request_term = mine; request_fence = knows }
    /* What is on record is sent, and sent again, by whoever has the role. */
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

proctype World() {
end:
    do
    /* Holds end; their holders' clocks were ahead of that. */
    :: atomic { leader != 0 && TERM_OVER -> if :: holder == leader && on_leader_lease -> holder = 0 :: else -> skip fi; leader = 0 }
    :: atomic { holder != 0 && !on_leader_lease && !assigned[holder] -> holder = 0 }
    /* The move is executed late, on condition of the fence, or is lost. */
    :: atomic { late_move != 0 && holder != 0 && fence == late_move && on_leader_lease &&
           fence < FENCES -> fence++; holder = move_to; on_leader_lease = false; late_move = 0 }
    :: atomic { late_move != 0 -> late_move = 0 }
    :: atomic { late_take != 0 && holder != 0 && fence == late_take && !on_leader_lease && term == take_term &&
           leader == take_to && fence < FENCES ->
           fence++; holder = take_to; on_leader_lease = true; late_take = 0 }
    :: atomic { late_take != 0 -> late_take = 0 }
    /* Records are written late, on condition of term and fence, or not at all. */
    :: atomic { release_term != 0 && ON_CONDITION(release_term, release_fence) ->
           releasing = true; release_term = 0 }
    :: atomic { release_term != 0 -> release_term = 0 }
    :: atomic { request_term != 0 && ON_CONDITION(request_term, request_fence) ->
           request = request_term; request_term = 0 }
    :: atomic { request_term != 0 -> request_term = 0 }
    /* The cloud executes what it was sent. */
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
        run World()
    }
}
