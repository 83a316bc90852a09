/* The duty lease, its fence and the intents written ahead (docs/design/roles.md), for two
 * controllers of which either may lead, one machine that is not needed, and a need for one more.
 *
 * What is modelled: leadership as a right that its holder's own clock ends before the hold ends; a
 * duty's record with its holder and a fence that rises with every change; the move of the duty to
 * the other controller and back, whose transactions may be executed late or lost; charges that end by the
 * helper's clock; records written on condition of term and fence; a pause between any two steps; a
 * cloud that executes rentals and returns whenever it likes, and whose answers nobody hears.
 *
 * Broken on purpose, one at a time; each must be found:
 *   NO_RECORD       returns and rentals are sent without being on record
 *   NO_FENCE        records are written whatever term and fence are by then
 *   NO_REPEAT       a successor rents under a name of its own what is on record already
 *   EARLY_END       the leader's hold ends while it may still act
 *   CHARGE_UNASKED  the helper is charged before the leader knows that the duty is moved
 *   TAKE_EARLY      the leader takes a duty back while the helper's charge may last
 *   CHARGE_TAKEN    the helper is charged while a taking back from it may yet be executed
 */
#define TERMS 3
#define FENCES 4

byte term = 0, leader = 0; /* leader 0: the seat is free */
bool leads[3];             /* by the controller's own clock */

byte fence = 0, holder = 0; /* the duty's record; holder 0: there is none */
bool on_seat = false;       /* it hangs on the leader's hold, not on a helper's */
bool charge[3];             /* lasts, by the helper's own clock */
byte charged[3];            /* the fence that it names */
byte late_move = 0, move_to = 0; /* a transaction under way that moves the duty from that fence */
byte late_take = 0, take_to = 0, take_term = 0; /* and one that takes it back */

bool leaving = false, gone = false, going = false; /* the machine: on record, gone, asked for */
byte work = 0;                                     /* the term that placed work on it */

byte rental = 0; /* on record: its name, which is the term that made it */
bool sent[TERMS + 1], rented[TERMS + 1];
byte machines = 0;

/* Transactions under way that write the records, with the term and fence that they name. */
byte leave_term = 0, leave_fence = 0, rental_term = 0, rental_fence = 0;
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
#define CHARGES_OVER(i) (true)
#else
#define CHARGES_OVER(i) (!charge[i])
#endif

#ifdef CHARGE_TAKEN
#define NOT_TAKEN(f) (true)
#else
#define NOT_TAKEN(f) (f != took)
#endif

#ifdef EARLY_END
#define TERM_OVER (true)
#else
#define TERM_OVER (!leads[leader])
#endif

/* Whoever acts under the duty at this moment is the only one who may. */
#define MAY_AS_LEADER(i) (leads[i] && acts[i])
bool acts[3];

proctype Controller(byte me) {
    byte mine = 0;  /* its term */
    byte knows = 0; /* the duty's fence as this leader knows it */
    byte took = 0;  /* the fence from which it has asked to take the duty back */
    bool knows_leaving = false;
    byte knows_rental = 0;

end:
    do
    /* It takes the seat, and reads what is on record. */
    :: atomic { leader == 0 && term < TERMS && !leads[me] ->
           term++; leader = me; leads[me] = true; mine = term; acts[me] = false;
           charge[me] = false; /* a helper that leads lets go */
           knows = fence; took = 0; knows_leaving = leaving; knows_rental = rental }
    :: atomic { leads[me] -> leads[me] = false; acts[me] = false; mine = 0 }

    /* The duty is vacant: claimed, on condition of the term. */
    :: atomic { leads[me] && leader == me && holder == 0 && fence < FENCES ->
           fence++; holder = me; on_seat = true; knows = fence; acts[me] = true }
    /* It moves to the helper: nothing is done under it from the sending on. */
    :: atomic { leads[me] && acts[me] && late_move == 0 && fence < FENCES ->
           acts[me] = false; late_move = knows; move_to = 3 - me;
#ifdef CHARGE_UNASKED
           charge[3 - me] = true; charged[3 - me] = knows + 1
#endif
       }
    /* What became of it is read: its own as before, or the other's. */
    :: atomic { leads[me] && leader == me && holder == me && on_seat && !acts[me] ->
           knows = fence; acts[me] = true }
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_seat && !acts[me] ->
           knows = fence }
    /* Its helper is charged, again and again. */
    :: atomic { leads[me] && !acts[me] && knows == fence && holder == 3 - me && !on_seat && NOT_TAKEN(knows) ->
           charge[3 - me] = true; charged[3 - me] = knows }
    :: atomic { charge[me] -> charge[me] = false } /* by its own clock */
    /* Taken back once charges must be over. */
    :: atomic { leads[me] && leader == me && holder == 3 - me && !on_seat && knows == fence &&
           late_take == 0 && CHARGES_OVER(3 - me) ->
           late_take = fence; take_to = me; take_term = mine; took = fence }

    /* Work is placed on the machine, if it is not known to leave; its checkpoint is conditional. */
    :: leads[me] && !gone && work == 0 && !knows_leaving ->
           atomic { if :: leader == me && term == mine -> work = mine :: else -> skip fi }
    /* Or it is to go back, and nothing is placed on it from here on: on record first. */
    :: atomic { leads[me] && !gone && work == 0 && !knows_leaving && leave_term == 0 ->
           knows_leaving = true; leave_term = mine; leave_fence = knows }
    /* One more is needed: a rental is written down. */
    :: atomic { leads[me] && machines == 0 && knows_rental == 0 && rental_term == 0 ->
           knows_rental = mine; rental_term = mine; rental_fence = knows }
    /* What is on record is sent, and sent again, by whoever has the duty. */
    :: atomic { leads[me] && knows_leaving && RECORDED(leaving) && !gone && MAY_AS_LEADER(me) ->
           assert(!charge[3 - me]); going = true }
    :: atomic { leads[me] && knows_leaving && RECORDED(leaving) && !gone && charge[3 - me] && charged[3 - me] == knows ->
           assert(!MAY_AS_LEADER(me)); going = true }
    :: atomic { leads[me] && machines == 0 && knows_rental != 0 && RECORDED(rental == knows_rental) &&
           MAY_AS_LEADER(me) ->
           assert(!charge[3 - me] && !MAY_AS_LEADER(3 - me));
#ifdef NO_REPEAT
           sent[mine] = true
#else
           sent[knows_rental] = true
#endif
       }
    od
}

proctype World() {
end:
    do
    /* Holds end; their holders' clocks were ahead of that. */
    :: atomic { leader != 0 && TERM_OVER -> if :: holder == leader && on_seat -> holder = 0 :: else -> skip fi; leader = 0 }
    :: atomic { holder != 0 && !on_seat && !charge[holder] -> holder = 0 }
    /* The move is executed late, on condition of the fence, or is lost. */
    :: atomic { late_move != 0 && holder != 0 && fence == late_move && on_seat &&
           fence < FENCES -> fence++; holder = move_to; on_seat = false; late_move = 0 }
    :: atomic { late_move != 0 -> late_move = 0 }
    :: atomic { late_take != 0 && holder != 0 && fence == late_take && !on_seat && term == take_term &&
           leader == take_to && fence < FENCES ->
           fence++; holder = take_to; on_seat = true; late_take = 0 }
    :: atomic { late_take != 0 -> late_take = 0 }
    /* Records are written late, on condition of term and fence, or not at all. */
    :: atomic { leave_term != 0 && ON_CONDITION(leave_term, leave_fence) ->
           leaving = true; leave_term = 0 }
    :: atomic { leave_term != 0 -> leave_term = 0 }
    :: atomic { rental_term != 0 && ON_CONDITION(rental_term, rental_fence) ->
           rental = rental_term; rental_term = 0 }
    :: atomic { rental_term != 0 -> rental_term = 0 }
    /* The cloud executes what it was sent. */
    :: atomic { going && !gone -> assert(work == 0); gone = true }
    :: atomic { sent[1] && !rented[1] -> rented[1] = true; machines++; assert(machines == 1) }
    :: atomic { sent[2] && !rented[2] -> rented[2] = true; machines++; assert(machines == 1) }
    :: atomic { sent[3] && !rented[3] -> rented[3] = true; machines++; assert(machines == 1) }
    od
}

init {
    atomic {
        run Controller(1);
        run Controller(2);
        run World()
    }
}
