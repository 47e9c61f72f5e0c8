#pragma once

#include "plantaindrift/membership/Member.h"
#include "plantaindrift/store/ObjectStore.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Every object under a prefix, read page by page.
[[nodiscard]] absl::StatusOr<std::vector<StoredObject>> listAll(ObjectStore& store, std::string_view prefix);

/// \name Announcement objects "targets/<service>/<name>", written by agents at join, drain and leave
/// \{
[[nodiscard]] std::string announcementKey(std::string_view service, std::string_view name);
[[nodiscard]] std::string encodeMember(Member const& member);
/// \brief Reads a member; errors are InvalidMessage and name the field.
[[nodiscard]] absl::StatusOr<Member> decodeMember(std::string_view text);
/// \brief Announced targets, sorted by service and name.
///
/// \param service  only this service; empty for all
[[nodiscard]] absl::StatusOr<std::vector<Member>> listAnnouncements(ObjectStore& store, std::string_view service);
/// \}

/// \brief An operator's request that a target finishes its flows and takes no new ones.
///
/// The target's agent polls "drain/<service>/<name>" and drains while the object exists.
struct DrainRequest {
    std::string service;
    std::string name;
    std::string author;
    std::string reason;
    std::int64_t timeMilliseconds { 0 }; ///< since 1970

    friend bool operator==(DrainRequest const&, DrainRequest const&) = default;
};

/// \name Drain requests
/// \{
[[nodiscard]] std::string drainKey(std::string_view service, std::string_view name);
[[nodiscard]] std::string encodeDrainRequest(DrainRequest const& request);
[[nodiscard]] absl::StatusOr<DrainRequest> decodeDrainRequest(std::string_view text);
/// \brief The request for a target, if there is one.
[[nodiscard]] absl::StatusOr<std::optional<DrainRequest>> readDrainRequest(ObjectStore& store, std::string_view service, std::string_view name);
/// \brief Requests a drain; safe to repeat, also after a lost answer.
///
/// \returns the request in force, which is an earlier one if the target was to drain already
[[nodiscard]] absl::StatusOr<DrainRequest> requestDrain(ObjectStore& store, DrainRequest const& request);
/// \brief Takes a request back; safe to repeat.
///
/// \returns true if a request existed
[[nodiscard]] absl::StatusOr<bool> withdrawDrain(ObjectStore& store, std::string_view service, std::string_view name);
[[nodiscard]] absl::StatusOr<std::vector<DrainRequest>> listDrainRequests(ObjectStore& store);
/// \}

/// \brief An operator's request that targets of a data centre take no new flows.
struct EvacuationRequest {
    std::string dataCentre;
    std::string author;
    std::string reason;
    std::int64_t timeMilliseconds { 0 }; ///< since 1970

    friend bool operator==(EvacuationRequest const&, EvacuationRequest const&) = default;
};

/// \name Evacuation objects "evacuations/<data centre>"
/// \{
[[nodiscard]] std::string evacuationKey(std::string_view dataCentre);
[[nodiscard]] std::string encodeEvacuationRequest(EvacuationRequest const& request);
[[nodiscard]] absl::StatusOr<EvacuationRequest> decodeEvacuationRequest(std::string_view text);
/// \brief Requests an evacuation; safe to repeat, also after a lost answer.
///
/// \returns the request in force, which is an earlier one if the data centre was evacuated already
[[nodiscard]] absl::StatusOr<EvacuationRequest> requestEvacuation(ObjectStore& store, EvacuationRequest const& request);
/// \brief Takes a request back; safe to repeat.
///
/// \returns true if a request existed
[[nodiscard]] absl::StatusOr<bool> withdrawEvacuation(ObjectStore& store, std::string_view dataCentre);
[[nodiscard]] absl::StatusOr<std::vector<EvacuationRequest>> listEvacuationRequests(ObjectStore& store);
/// \}

/// \brief What an entry last reported about its configuration, in "status/entries/<name>".
struct EntryStatus {
    std::string name;
    std::string dataCentre;
    std::uint64_t position { 0 }; ///< position in force
    std::int64_t timeMilliseconds { 0 }; ///< when the report was written, since 1970
    std::uint64_t ageMilliseconds { 0 }; ///< at that time, since the entry last heard of the newest position

    friend bool operator==(EntryStatus const&, EntryStatus const&) = default;
};

/// \name Entry status objects
/// \{
[[nodiscard]] std::string entryStatusKey(std::string_view name);
[[nodiscard]] std::string encodeEntryStatus(EntryStatus const& status);
[[nodiscard]] absl::StatusOr<EntryStatus> decodeEntryStatus(std::string_view text);
[[nodiscard]] absl::StatusOr<std::vector<EntryStatus>> listEntryStatus(ObjectStore& store);
/// \}

} // namespace plantaindrift
