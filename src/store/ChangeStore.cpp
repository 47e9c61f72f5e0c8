#include "plantaindrift/store/ChangeStore.h"

#include "configuration/ServiceJson.h"
#include "plantaindrift/base/Error.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <limits>

namespace plantaindrift {

namespace {

    constexpr std::string_view logPrefix = "log/";
    constexpr std::string_view indexKey = "snapshot-index";
    constexpr std::size_t pageSize = 100;
    constexpr std::uint64_t recordFormat = 1;
    // A write without effect after this many trials points to a platform that fails, not to a lost answer.
    constexpr int writeTrials = 5;
    // A lost marker race is decided by the other run of the same operation, so a few rounds are enough.
    constexpr int claimTrials = 16;
    constexpr NumberRange positionRange { 1, 999'999'999'999 };
    constexpr NumberRange shardRange { 0, 9'999 };
    constexpr std::size_t shardDigits = 4;

    std::string padded(std::uint64_t number, std::size_t digits)
    {
        std::string const text = std::to_string(number);
        return std::string(text.size() < digits ? digits - text.size() : 0, '0') + text;
    }

    std::string shardKey(std::uint64_t position, std::uint64_t shard)
    {
        constexpr std::size_t positionDigits = 12;
        return "snapshot/" + padded(position, positionDigits) + '/' + padded(shard, shardDigits);
    }

    std::string markerKey(std::string const& operationId)
    {
        return "operation/" + operationId;
    }

    bool isKind(absl::Status const& status, ErrorKind kind)
    {
        return !status.ok() && errorKind(status) == kind;
    }

    absl::Status withKey(absl::Status const& status, std::string_view key)
    {
        return makeError(errorKind(status), "object " + std::string(key) + ": " + std::string(status.message()));
    }

    absl::StatusOr<ConfigurationChange> decodeAt(StoredObject const& object, std::uint64_t position)
    {
        absl::StatusOr<ConfigurationChange> change = decodeChange(object.value);
        if (!change.ok())
            return withKey(change.status(), object.key);
        if (object.key != changeKey(position) || change->position != position)
            return makeError(ErrorKind::InvalidMessage, "object " + object.key + " is not position " + std::to_string(position) + " of the log; restore the missing object in the platform");
        return change;
    }

    absl::Status lostRace(ConfigurationChange const& winner)
    {
        std::string const position = std::to_string(winner.position);
        return makeError(ErrorKind::LostRace, "position " + position + " was taken by " + winner.author + " at " + formatTime(winner.timeMilliseconds) + " (operation " + winner.operationId + ", reason: " + winner.reason + "); run diff again and apply with --expected_position at or after " + position);
    }

    std::vector<std::string> packShards(Configuration const& configuration, std::size_t longest)
    {
        std::vector<std::string> shards { std::string() };
        for (Service const& service : configuration.services) {
            std::string const text = printJson(serviceToJson(service));
            if (!shards.back().empty() && shards.back().size() + text.size() + 1 > longest)
                shards.emplace_back();
            shards.back() += (shards.back().empty() ? "" : ",") + text;
        }
        return shards;
    }

    std::string printShard(std::uint64_t position, std::uint64_t shard, std::string const& services)
    {
        return R"({"format":1,"position":)" + std::to_string(position) + R"(,"shard":)" + std::to_string(shard) + R"(,"services":[)" + services + "]}";
    }

    absl::Status readShard(StoredObject const& object, std::uint64_t position, std::uint64_t shard, Configuration& configuration)
    {
        absl::StatusOr<nlohmann::json> const value = parseJson(object.value);
        if (!value.ok())
            return withKey(value.status(), object.key);
        absl::Status error;
        JsonObject document(*value, {}, error);
        (void)document.takeNumber("format", { recordFormat, recordFormat });
        (void)document.takeNumber("position", { position, position });
        (void)document.takeNumber("shard", { shard, shard });
        std::vector<nlohmann::json> const& services = document.takeArray("services", mostServices);
        for (std::size_t index = 0; index < services.size() && error.ok(); ++index)
            configuration.services.push_back(serviceFromJson(services[index], "services[" + std::to_string(index) + ']', error));
        document.finish();
        return error.ok() ? error : withKey(error, object.key);
    }

} // namespace

std::string formatTime(std::int64_t milliseconds)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    std::time_t const seconds = static_cast<std::time_t>(milliseconds / millisecondsPerSecond);
    std::tm parts {};
    std::array<char, 64> text {};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return std::to_string(milliseconds) + " ms";
    std::size_t const length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), length };
}

ChangeStore::ChangeStore(ObjectStore& store)
    : store_(store)
{
}

absl::StatusOr<std::vector<ConfigurationChange>> ChangeStore::readPage(std::uint64_t position)
{
    absl::StatusOr<std::vector<StoredObject>> const objects = store_.list(logPrefix, position == 0 ? std::string() : changeKey(position), pageSize);
    if (!objects.ok())
        return objects.status();
    std::vector<ConfigurationChange> changes;
    for (StoredObject const& object : *objects) {
        absl::StatusOr<ConfigurationChange> change = decodeAt(object, position + changes.size() + 1);
        if (!change.ok())
            return change.status();
        changes.push_back(*std::move(change));
    }
    return changes;
}

absl::StatusOr<LogContents> ChangeStore::readAfter(std::uint64_t position)
{
    LogContents contents;
    absl::StatusOr<SnapshotIndex> const index = readIndex();
    if (!index.ok() && !isKind(index.status(), ErrorKind::InvalidMessage))
        return index.status();
    // The log is complete, so a damaged snapshot only costs reads.
    if (index.ok() && index->position >= position + snapshotInterval) {
        absl::StatusOr<Configuration> snapshot = readSnapshot(*index);
        if (snapshot.ok()) {
            contents.snapshotPosition = index->position;
            contents.snapshot = *std::move(snapshot);
        }
    }
    std::uint64_t last = std::max(position, contents.snapshotPosition);
    while (true) {
        absl::StatusOr<std::vector<ConfigurationChange>> const page = readPage(last);
        if (!page.ok())
            return page.status();
        if (page->empty())
            return contents;
        contents.changes.insert(contents.changes.end(), page->begin(), page->end());
        last = page->back().position;
    }
}

absl::Status ChangeStore::catchUp(ChangeLog& log)
{
    absl::StatusOr<LogContents> const contents = readAfter(log.position());
    if (!contents.ok())
        return contents.status();
    if (contents->snapshotPosition > 0)
        log.applySnapshot(contents->snapshotPosition, contents->snapshot);
    for (ConfigurationChange const& change : contents->changes) {
        absl::StatusOr<bool> const applied = log.apply(change);
        if (!applied.ok())
            return applied.status();
    }
    return absl::OkStatus();
}

absl::StatusOr<std::optional<ConfigurationChange>> ChangeStore::readIfPresent(std::uint64_t position)
{
    absl::StatusOr<StoredObject> const object = store_.get(changeKey(position));
    if (isKind(object.status(), ErrorKind::NotFound))
        return std::optional<ConfigurationChange>();
    if (!object.ok())
        return object.status();
    absl::StatusOr<ConfigurationChange> change = decodeAt(*object, position);
    if (!change.ok())
        return change.status();
    return std::optional<ConfigurationChange>(*std::move(change));
}

absl::StatusOr<ConfigurationChange> ChangeStore::read(std::uint64_t position)
{
    absl::StatusOr<std::optional<ConfigurationChange>> change = readIfPresent(position);
    if (!change.ok())
        return change.status();
    if (!change->has_value())
        return makeError(ErrorKind::NotFound, "position " + std::to_string(position) + " is not in the log; run status to see the newest position");
    return **std::move(change);
}

absl::StatusOr<Configuration> ChangeStore::configurationAt(std::uint64_t position)
{
    // Replayed from the start: the newest snapshot may be past the position, and rollbacks are rare.
    ChangeLog log;
    while (log.position() < position) {
        absl::StatusOr<std::vector<ConfigurationChange>> const page = readPage(log.position());
        if (!page.ok())
            return page.status();
        if (page->empty())
            return makeError(ErrorKind::NotFound, "position " + std::to_string(position) + " is not in the log, which ends at position " + std::to_string(log.position()) + "; name a position up to that one");
        for (ConfigurationChange const& change : *page) {
            if (change.position > position)
                break;
            absl::StatusOr<bool> const applied = log.apply(change);
            if (!applied.ok())
                return applied.status();
        }
    }
    return log.configuration();
}

absl::Status ChangeStore::checkRequest(AppendRequest const& request)
{
    if (!isName(request.operationId))
        return makeError(ErrorKind::Refused, "the operation id is not valid; " + std::string(nameRemedy));
    if (request.services.empty())
        return makeError(ErrorKind::Refused, "the change is empty; nothing has to be applied");
    std::string const record = encodeChange({ request.expectedPosition + 1, request.operationId, request.author, request.reason, request.timeMilliseconds, request.services });
    if (record.size() > longestChange)
        return makeError(ErrorKind::Refused, "the change has " + std::to_string(record.size()) + " bytes; split it into changes of at most " + std::to_string(longestChange));
    absl::Status const status = decodeChange(record).status();
    if (!status.ok())
        return makeError(ErrorKind::Refused, "the change would not be accepted: " + std::string(status.message()));
    if (request.expectedPosition == 0)
        return absl::OkStatus();
    // Positions are never removed, so the log cannot get a gap once the expected one was seen.
    absl::StatusOr<std::optional<ConfigurationChange>> const expected = readIfPresent(request.expectedPosition);
    if (!expected.ok())
        return expected.status();
    if (!expected->has_value())
        return makeError(ErrorKind::Refused, "expected position " + std::to_string(request.expectedPosition) + " is not in the log; run status to see the newest position");
    return absl::OkStatus();
}

absl::StatusOr<ChangeStore::Marker> ChangeStore::readMarker(AppendRequest const& request)
{
    absl::StatusOr<StoredObject> const object = store_.get(markerKey(request.operationId));
    if (!object.ok())
        return object.status();
    absl::StatusOr<nlohmann::json> const value = parseJson(object->value);
    if (!value.ok())
        return withKey(value.status(), object->key);
    absl::Status error;
    JsonObject document(*value, {}, error);
    Marker const marker { document.takeNumber("position", positionRange), object->version };
    if (!error.ok())
        return withKey(error, object->key);
    return marker;
}

// Finds or sets the position that this operation tries. A position that another operation holds is left behind.
absl::StatusOr<ChangeStore::Marker> ChangeStore::claim(AppendRequest const& request)
{
    std::string const value = printJson(nlohmann::json::object({ { "position", request.expectedPosition + 1 } }));
    for (int trial = 0; trial < claimTrials; ++trial) {
        absl::StatusOr<Marker> marker = readMarker(request);
        if (isKind(marker.status(), ErrorKind::NotFound)) {
            absl::Status const created = store_.create(markerKey(request.operationId), value).status();
            if (!created.ok() && !isKind(created, ErrorKind::LostRace) && !isKind(created, ErrorKind::OutcomeUnknown))
                return created;
            continue;
        }
        if (!marker.ok() || marker->position == request.expectedPosition + 1)
            return marker;
        absl::StatusOr<std::optional<ConfigurationChange>> const holder = readIfPresent(marker->position);
        if (!holder.ok())
            return holder.status();
        bool const isLeftBehind = holder->has_value() && (*holder)->operationId != request.operationId;
        if (!isLeftBehind)
            return marker;
        absl::Status const moved = store_.update(markerKey(request.operationId), value, marker->version).status();
        if (!moved.ok() && !isKind(moved, ErrorKind::LostRace) && !isKind(moved, ErrorKind::OutcomeUnknown))
            return moved;
    }
    return makeError(ErrorKind::PlatformUnreachable, "operation " + request.operationId + " could not be recorded; repeat the same command, it is safe");
}

absl::StatusOr<AppendResult> ChangeStore::append(AppendRequest const& request)
{
    absl::Status const status = checkRequest(request);
    if (!status.ok())
        return status;
    absl::StatusOr<Marker> const marker = claim(request);
    if (!marker.ok())
        return marker.status();
    return appendAt(request, *marker);
}

absl::StatusOr<AppendResult> ChangeStore::appendAt(AppendRequest const& request, Marker marker)
{
    ConfigurationChange const change { marker.position, request.operationId, request.author, request.reason, request.timeMilliseconds, request.services };
    std::string const record = encodeChange(change);
    std::string const unknown = "the platform does not say whether operation " + request.operationId + " took position " + std::to_string(marker.position) + "; repeat the same command with --operation_id=" + request.operationId + ", it is safe";
    bool isOurTrial = false;
    for (int trial = 0; trial < writeTrials; ++trial) {
        absl::StatusOr<std::optional<ConfigurationChange>> const holder = readIfPresent(marker.position);
        if (!holder.ok())
            return isOurTrial ? makeError(ErrorKind::OutcomeUnknown, unknown) : holder.status();
        if (holder->has_value()) {
            if ((*holder)->operationId != request.operationId)
                return lostRace(**holder);
            if ((*holder)->services != request.services)
                return makeError(ErrorKind::Refused, "operation " + request.operationId + " is a different change at position " + std::to_string(marker.position) + "; use a new operation id");
            return AppendResult { marker.position, !isOurTrial };
        }
        // An absent position means that it is the end of the log, so another expected position is out of date.
        if (marker.position != request.expectedPosition + 1)
            return makeError(ErrorKind::Refused, "operation " + request.operationId + " was prepared for position " + std::to_string(marker.position) + "; repeat it with --expected_position=" + std::to_string(marker.position - 1) + " or use a new operation id");
        absl::Status const created = store_.create(changeKey(marker.position), record).status();
        if (created.ok())
            return AppendResult { marker.position, false };
        if (isKind(created, ErrorKind::OutcomeUnknown))
            isOurTrial = true;
        else if (!isKind(created, ErrorKind::LostRace))
            return isOurTrial ? makeError(ErrorKind::OutcomeUnknown, unknown) : created;
    }
    return makeError(ErrorKind::OutcomeUnknown, unknown);
}

absl::StatusOr<ChangeStore::SnapshotIndex> ChangeStore::readIndex()
{
    absl::StatusOr<StoredObject> const object = store_.get(indexKey);
    if (isKind(object.status(), ErrorKind::NotFound))
        return SnapshotIndex {};
    if (!object.ok())
        return object.status();
    absl::StatusOr<nlohmann::json> const value = parseJson(object->value);
    if (!value.ok())
        return withKey(value.status(), indexKey);
    absl::Status error;
    JsonObject document(*value, {}, error);
    SnapshotIndex const index { document.takeNumber("position", positionRange), document.takeNumber("shards", { 1, shardRange.most + 1 }), object->version };
    if (!error.ok())
        return withKey(error, indexKey);
    return index;
}

absl::StatusOr<Configuration> ChangeStore::readSnapshot(SnapshotIndex const& index)
{
    Configuration configuration;
    for (std::uint64_t shard = 0; shard < index.shards; ++shard) {
        absl::StatusOr<StoredObject> const object = store_.get(shardKey(index.position, shard));
        if (!object.ok())
            return object.status();
        absl::Status const status = readShard(*object, index.position, shard, configuration);
        if (!status.ok())
            return status;
    }
    return configuration;
}

// An earlier run may have left the shard behind; another version of the program can have split it differently.
absl::Status ChangeStore::writeShard(std::string const& key, std::string const& value)
{
    for (int trial = 0; trial < writeTrials; ++trial) {
        absl::StatusOr<StoredObject> const existing = store_.get(key);
        if (!existing.ok() && !isKind(existing.status(), ErrorKind::NotFound))
            return existing.status();
        if (existing.ok() && existing->value == value)
            return absl::OkStatus();
        absl::Status written = existing.ok() ? store_.update(key, value, existing->version).status() : store_.create(key, value).status();
        if (written.ok())
            return written;
        if (!isKind(written, ErrorKind::OutcomeUnknown) && !isKind(written, ErrorKind::LostRace))
            return written;
    }
    return makeError(ErrorKind::OutcomeUnknown, "snapshot " + key + " may be missing; the next apply writes a new one");
}

absl::StatusOr<bool> ChangeStore::writeSnapshotIfDue(ChangeLog const& log)
{
    absl::StatusOr<SnapshotIndex> const index = readIndex();
    if (!index.ok())
        return index.status();
    if (log.position() < index->position + snapshotInterval)
        return false;
    std::vector<std::string> const shards = packShards(log.configuration(), longestShard);
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        absl::Status const status = writeShard(shardKey(log.position(), shard), printShard(log.position(), shard, shards[shard]));
        if (!status.ok())
            return status;
    }
    // The index names the snapshot only after all shards exist, so that a reader never sees a part of it.
    std::string const value = printJson(nlohmann::json::object({ { "position", log.position() }, { "shards", shards.size() } }));
    absl::Status const status = index->version == 0 ? store_.create(indexKey, value).status() : store_.update(indexKey, value, index->version).status();
    if (!status.ok() && !isKind(status, ErrorKind::LostRace))
        return status;
    return status.ok();
}

} // namespace plantaindrift
