#include "jobs/attempt.h"

namespace nickelramp::jobs {

const char* name(AttemptState state) {
    switch (state) {
        case AttemptState::recording:
            return "recording";
        case AttemptState::recorded:
            return "recorded";
        case AttemptState::starting:
            return "starting";
        case AttemptState::fetching:
            return "fetching";
        case AttemptState::waiting:
            return "waiting";
        case AttemptState::running:
            return "running";
        case AttemptState::saving:
            return "saving";
        case AttemptState::exited:
            return "exited";
    }
    return "?";
}

}  // namespace nickelramp::jobs
