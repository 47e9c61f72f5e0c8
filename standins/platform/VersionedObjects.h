#pragma once

#include "plantaindrift/store/ObjectStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift::standin {

/// \brief Result of a conditional write.
enum class WriteResult {
    Done,
    Absent, ///< the object to update or remove does not exist
    ConditionFailed ///< the object exists already, or has another version
};

/// \brief Objects with versions that grow over the whole store, and conditional writes.
class VersionedObjects {
public:
    [[nodiscard]] StoredObject const* find(std::string_view key) const
    {
        std::map<std::string, StoredObject, std::less<>>::const_iterator const found = objects_.find(key);
        return found == objects_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] WriteResult create(std::string_view key, std::string_view value)
    {
        if (objects_.contains(key))
            return WriteResult::ConditionFailed;
        put(key, value);
        return WriteResult::Done;
    }

    [[nodiscard]] WriteResult update(std::string_view key, std::string_view value, std::uint64_t version)
    {
        WriteResult const result = check(key, version);
        if (result == WriteResult::Done)
            put(key, value);
        return result;
    }

    [[nodiscard]] WriteResult remove(std::string_view key, std::uint64_t version)
    {
        WriteResult const result = check(key, version);
        if (result == WriteResult::Done) {
            ++version_;
            objects_.erase(objects_.find(key));
        }
        return result;
    }

    [[nodiscard]] std::vector<StoredObject> list(std::string_view prefix, std::string_view after, std::size_t limit) const
    {
        std::vector<StoredObject> found;
        std::map<std::string, StoredObject, std::less<>>::const_iterator object = objects_.lower_bound(prefix);
        if (after >= prefix)
            object = objects_.upper_bound(after);
        for (; object != objects_.end() && object->first.starts_with(prefix) && found.size() < limit; ++object)
            found.push_back(object->second);
        return found;
    }

    [[nodiscard]] std::vector<StoredObject> changedAfter(std::string_view prefix, std::uint64_t version, std::size_t limit) const
    {
        std::vector<StoredObject> found;
        std::map<std::string, StoredObject, std::less<>>::const_iterator object = objects_.lower_bound(prefix);
        for (; object != objects_.end() && object->first.starts_with(prefix) && found.size() < limit; ++object) {
            if (object->second.version > version)
                found.push_back(object->second);
        }
        return found;
    }

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    [[nodiscard]] WriteResult check(std::string_view key, std::uint64_t version) const
    {
        StoredObject const* const object = find(key);
        if (object == nullptr)
            return WriteResult::Absent;
        return object->version == version ? WriteResult::Done : WriteResult::ConditionFailed;
    }

    void put(std::string_view key, std::string_view value)
    {
        objects_.insert_or_assign(std::string(key), StoredObject { std::string(key), std::string(value), ++version_ });
    }

    std::map<std::string, StoredObject, std::less<>> objects_;
    std::uint64_t version_ { 0 };
};

} // namespace plantaindrift::standin
