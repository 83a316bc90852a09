// Transactions that are carried out at once and only whose answer is lost, and what meets the end
// of a job (docs/design/meetings.md). Each test counts that its meeting came about.
#include <gtest/gtest.h>

#include "tests/world.h"

namespace {

using namespace nickelramp;
using test::job;
using test::Trouble;
using test::World;

const char* const kShapes[] = {"sweep", "ensemble", "standing"};

// What the leader still counts as open although its end is on record.
std::vector<std::string> ghosts(World& world) {
    std::vector<std::string> out;
    if (world.leader() == nullptr) return out;
    for (const auto& [id, j] : world.leader()->open_jobs())
        if (j->state == jobs::JobState::open && !world.final_state(id).empty()) out.push_back(id);
    return out;
}

// Everything ends by itself but for the services, which are cancelled; it is told, and no record or
// book keeps anything of it.
void ends(World& world, const std::vector<std::string>& services, Millis within) {
    auto open = [&] { return world.records("open/") > 0; };
    for (const std::string& id : services) world.ask_to_cancel(id);
    const Millis until = world.now() + within;
    while (world.now() < until && open() && !testing::Test::HasFailure())
        world.run_until(world.now() + 1'000);
    EXPECT_FALSE(open()) << world.what_runs() << world.book_says();
    world.run_until(world.now() + 15'000);
    ASSERT_NE(world.leader(), nullptr);
    EXPECT_TRUE(world.leader()->open_jobs().empty()) << world.book_says();
}

// An open record is read before the job's end and heard of after it: from a list, or with a block
// that is taken back while its holder ends the job. The book takes the job for one that waits, and
// keeps places and its team's limit for it until it hears that the record is gone.
TEST(Ends, ARecordReadBeforeTheEnd) {
    std::size_t met = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
        const bool lists = seed % 2 == 0;
        Trouble t;
        t.slow_drops = lists ? 5'000 : 12'000;
        World world(seed, t, 2);
        std::vector<std::string> ids;
        while (world.now() < 90'000 && !HasFailure()) {
            ids.push_back("job-" + std::to_string(ids.size()));
            world.submit(job(ids.back(), kShapes[random() % 2], 1 + random() % 3, 1));
            if (lists && random() % 3 == 0) world.list_open(500 + upto(6'000));
            if (!lists && random() % 6 == 0) world.end_holders();
            for (int n = 0; n < 20; ++n) {
                world.run_until(world.now() + 200);
                met += ghosts(world).empty() ? 0 : 1;
            }
        }
        world.calm();
        ends(world, {}, 200'000);
    }
    EXPECT_GT(met, 40u);
}

}  // namespace
