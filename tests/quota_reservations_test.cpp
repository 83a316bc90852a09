// Quota reservations: which gang gets one, how long it lasts, and when the team may reserve again.
#include "cluster/quota_reservations.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace {

using namespace nickelramp;
using cluster::QuotaReservations;
using jobs::Job;

constexpr Millis kPause = 30'000;

class QuotaReservationsTest : public testing::Test {
  protected:
    QuotaReservationsTest() {
        reservations.add_team();
        reservations.add_team();
    }

    // Adds a gang of two tasks that is waiting for slots.
    Job& add_gang(Index team, Millis accepted_at) {
        auto gang = std::make_unique<Job>();
        gang->spec.shape = wire::Shape::gang;
        gang->spec.tasks = 2;
        gang->team = team;
        gang->accepted_at = accepted_at;
        gang->index = static_cast<Index>(jobs_by_index.size());
        jobs_by_index.push_back(gang.get());
        gangs.push_back(std::move(gang));
        return *gangs.back();
    }

    std::vector<std::unique_ptr<Job>> gangs;
    std::vector<Job*> jobs_by_index;
    QuotaReservations reservations{jobs_by_index};
};

TEST_F(QuotaReservationsTest, ATeamReservesForItsEarliestGang) {
    const Job& late = add_gang(0, 200);
    const Job& early = add_gang(0, 100);
    const Job& of_other_team = add_gang(1, 50);
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
    reservations.reserve(late, 1000);
    EXPECT_EQ(reservations.reserved_for(0), &late);
    reservations.reserve(early, 1000);
    reservations.reserve(late, 1000);
    EXPECT_EQ(reservations.reserved_for(0), &early);
    EXPECT_EQ(reservations.reserved_for(1), nullptr);
    reservations.reserve(of_other_team, 1000);
    EXPECT_EQ(reservations.reserved_for(1), &of_other_team);
    reservations.release(late);
    EXPECT_EQ(reservations.reserved_for(0), &early) << "the reservation belongs to the other gang";
    reservations.release(early);
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
}

TEST_F(QuotaReservationsTest, AGangThatNoLongerWaitsHasNoReservation) {
    Job& gang = add_gang(0, 100);
    reservations.reserve(gang, 1000);
    gang.completed_tasks = gang.spec.tasks;
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
    jobs_by_index[gang.index] = nullptr;
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
    // The index now belongs to a job of another team.
    Job& other = add_gang(1, 300);
    jobs_by_index[gang.index] = &other;
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
}

// The total reservation time of a team is limited, regardless of the gangs. Otherwise consecutive
// reservations could withhold quota from its other jobs forever.
TEST_F(QuotaReservationsTest, ATeamReservesForALimitedTimeAndThenPauses) {
    const Job& first = add_gang(0, 100);
    const Job& second = add_gang(0, 200);
    reservations.reserve(first, 1000);
    reservations.release(first);
    const Millis end = 1000 + jobs::kMaxWithholdingTime;
    reservations.reserve(second, end);
    EXPECT_EQ(reservations.reserved_for(0), &second);
    reservations.expire(end);
    EXPECT_EQ(reservations.reserved_for(0), &second);
    reservations.expire(end + 1);
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
    reservations.reserve(second, end + kPause);
    EXPECT_EQ(reservations.reserved_for(0), nullptr) << "the team is in its pause";
    EXPECT_FALSE(reservations.may_reserve(0, end + kPause));
    EXPECT_TRUE(reservations.may_reserve(0, end + kPause + 1));
    reservations.reserve(second, end + kPause + 1);
    EXPECT_EQ(reservations.reserved_for(0), &second);
}

TEST_F(QuotaReservationsTest, APauseBeginsAtOnceForTheGangThatHasTheReservation) {
    const Job& gang = add_gang(0, 100);
    const Job& other = add_gang(0, 200);
    reservations.reserve(gang, 1000);
    reservations.pause(other, 2000);
    EXPECT_EQ(reservations.reserved_for(0), &gang);
    reservations.pause(gang, 2000);
    EXPECT_EQ(reservations.reserved_for(0), nullptr);
    EXPECT_FALSE(reservations.may_reserve(0, 2000));
    EXPECT_TRUE(reservations.may_reserve(0, 2000 + kPause));
}

}  // namespace
