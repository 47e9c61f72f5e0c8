#pragma once

#include "plantaindrift/base/Error.h"
#include "plantaindrift/store/ObjectStore.h"
#include "platform/VersionedObjects.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift::test {

/// \brief What several operators share: the objects, and writes that arrive after their sender gave up.
struct SharedObjects {
    standin::VersionedObjects objects;
    std::vector<std::function<void()>> lateWrites;
    bool holdLateWrites { false }; ///< late writes arrive only after this is set to false
    std::uint64_t writes { 0 };
    std::uint64_t reads { 0 };
};

/// \brief Object store in memory with faults drawn from a seeded generator.
class FakeObjectStore final : public ObjectStore {
public:
    /// \brief Probability of each fault, in percent of calls.
    struct Faults {
        unsigned unreachable { 0 }; ///< no effect
        unsigned lostAnswer { 0 }; ///< the write takes effect, the answer is lost
        unsigned lateWrite { 0 }; ///< no answer; the write takes effect at a later call, if its condition still holds
        unsigned lostWrite { 0 }; ///< no answer and no effect
    };

    FakeObjectStore(SharedObjects& shared, std::uint64_t seed)
        : shared_(shared)
        , random_(seed)
    {
    }

    Faults faults;
    std::function<void()> beforeCall; ///< lets other operators act between two calls of this one

    absl::StatusOr<StoredObject> get(std::string_view key) override
    {
        absl::Status const status = startRead();
        if (!status.ok())
            return status;
        StoredObject const* const object = shared_.objects.find(key);
        if (object == nullptr)
            return makeError(ErrorKind::NotFound, "object does not exist; check its name");
        return *object;
    }

    absl::StatusOr<std::uint64_t> create(std::string_view key, std::string_view value) override
    {
        return write([&shared = shared_, key = std::string(key), value = std::string(value)] { return shared.objects.create(key, value); });
    }

    absl::StatusOr<std::uint64_t> update(std::string_view key, std::string_view value, std::uint64_t version) override
    {
        return write([&shared = shared_, key = std::string(key), value = std::string(value), version] { return shared.objects.update(key, value, version); });
    }

    absl::Status remove(std::string_view key, std::uint64_t version) override
    {
        return write([&shared = shared_, key = std::string(key), version] { return shared.objects.remove(key, version); }).status();
    }

    absl::StatusOr<std::vector<StoredObject>> list(std::string_view prefix, std::string_view after, std::size_t limit) override
    {
        absl::Status const status = startRead();
        if (!status.ok())
            return status;
        // A small cap makes readers page, as the platform's own limit does.
        constexpr std::size_t cap = 37;
        return shared_.objects.list(prefix, after, std::min(limit, cap));
    }

    absl::StatusOr<std::vector<StoredObject>> watch(std::string_view prefix, std::uint64_t afterVersion, std::chrono::milliseconds) override
    {
        absl::Status const status = startRead();
        if (!status.ok())
            return status;
        return shared_.objects.changedAfter(prefix, afterVersion, 1000);
    }

private:
    bool draw(unsigned percent) { return random_() % 100 < percent; }

    absl::Status start()
    {
        if (beforeCall)
            beforeCall();
        if (!shared_.lateWrites.empty() && !shared_.holdLateWrites && draw(50)) {
            std::function<void()> const arriving = shared_.lateWrites.front();
            shared_.lateWrites.erase(shared_.lateWrites.begin());
            arriving();
        }
        if (draw(faults.unreachable))
            return makeError(ErrorKind::PlatformUnreachable, "outage; try again");
        return absl::OkStatus();
    }

    absl::Status startRead()
    {
        ++shared_.reads;
        return start();
    }

    absl::StatusOr<std::uint64_t> write(std::function<standin::WriteResult()> const& effect)
    {
        ++shared_.writes;
        absl::Status const status = start();
        if (!status.ok())
            return status;
        absl::Status const unknown = makeError(ErrorKind::OutcomeUnknown, "no answer; read the object before writing again");
        if (draw(faults.lostWrite))
            return unknown;
        if (draw(faults.lateWrite)) {
            shared_.lateWrites.emplace_back([effect] { (void)effect(); });
            return unknown;
        }
        standin::WriteResult const result = effect();
        if (draw(faults.lostAnswer))
            return unknown;
        if (result == standin::WriteResult::Absent)
            return makeError(ErrorKind::NotFound, "object does not exist; check its name");
        if (result == standin::WriteResult::ConditionFailed)
            return makeError(ErrorKind::LostRace, "object was changed; read it and try again");
        return shared_.objects.version();
    }

    SharedObjects& shared_;
    std::mt19937_64 random_;
};

} // namespace plantaindrift::test
