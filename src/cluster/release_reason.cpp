#include "cluster/release_reason.h"

namespace nickelramp::cluster {

const char* describe(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::unresponsive:
            return "is unresponsive";
        case ReleaseReason::unknown_token:
            return "shows a token that was never given out";
        case ReleaseReason::never_booted:
            return "did not boot in time";
        case ReleaseReason::never_reported:
            return "runs but sent no heartbeat";
        case ReleaseReason::known_from_records:
            return "is known from records only";
        case ReleaseReason::commands_lost:
            return "receives no commands";
        case ReleaseReason::idle:
            return "is idle";
        case ReleaseReason::drained:
            return "is drained";
        case ReleaseReason::preempted:
            return "is preempted by the cloud";
        case ReleaseReason::released_earlier:
            return "was being released by an earlier term";
        case ReleaseReason::failed:
            return "has failed";
        case ReleaseReason::fails_tasks:
            return "fails tasks of several jobs";
        case ReleaseReason::out_of_tokens:
            return "has used all fencing tokens of its grant";
    }
    return "?";
}

}  // namespace nickelramp::cluster
