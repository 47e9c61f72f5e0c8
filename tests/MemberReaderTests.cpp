// Guards against verdicts by an old member list: a list counts from the start of its read, which follows the request.
#include "runtime/MemberReader.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

// Fails once, throws once, then returns one member.
class UnreliableStore final : public FleetStore {
public:
    absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() override { return std::nullopt; }
    absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds /*time*/) override { return std::nullopt; }
    absl::StatusOr<std::vector<Member>> readMembers(bool fresh) override
    {
        BOOST_TEST(fresh);
        ++calls_;
        if (calls_ == 1)
            return absl::UnavailableError("down");
        if (calls_ == 2)
            throw std::out_of_range("answer");
        return std::vector<Member>(1);
    }
    absl::Status writeMember(Member const& /*member*/) override { return absl::OkStatus(); }
    absl::Status removeMember(std::string_view /*name*/) override { return absl::OkStatus(); }

private:
    int calls_ { 0 };
};

} // namespace

BOOST_AUTO_TEST_CASE(AListIsReadAfterTheRequestThoughEarlierReadsFailed)
{
    asio::io_context loop;
    asio::executor_work_guard<asio::io_context::executor_type> const guard = asio::make_work_guard(loop);
    std::size_t found = 0;
    TimePoint readStarted;
    MemberReader reader(loop, std::make_unique<UnreliableStore>(), [&](std::vector<Member> const& members, TimePoint started) {
        found = members.size();
        readStarted = started;
        loop.stop();
    });
    TimePoint const requested = std::chrono::steady_clock::now();
    // Like the entry, which requests at each tick until a list has arrived.
    while (found == 0) {
        reader.request();
        loop.run_for(100ms);
    }
    BOOST_TEST(found == 1U);
    BOOST_TEST((readStarted >= requested + 2 * MemberReader::minimumInterval));
}

BOOST_AUTO_TEST_CASE(AReaderThatIsIdleEndsAtOnce)
{
    asio::io_context loop;
    MemberReader const reader(loop, std::make_unique<UnreliableStore>(), [](std::vector<Member> const&, TimePoint) {});
}
