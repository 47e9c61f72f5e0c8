#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief Bounded open-addressing hash table with linear probing, at most half full; allocates only when it grows.
///
/// A record has the members `std::uint64_t hash` and `bool used`. Pointers stay valid until the next insert or erase.
template <typename Record>
class HashTable {
public:
    /// \param maximumRecords  maximum number of records
    explicit HashTable(std::size_t maximumRecords)
        : maximumRecords_(maximumRecords)
    {
        records_.resize(firstCapacity);
    }

    [[nodiscard]] Record* find(std::uint64_t hash) noexcept
    {
        for (std::size_t index = homeIndex(hash);; index = next(index)) {
            Record& record = records_[index];
            if (!record.used)
                return nullptr;
            if (record.hash == hash)
                return &record;
        }
    }

    /// \brief Finds or adds a record. \returns null if the table is full
    Record* insert(std::uint64_t hash)
    {
        if (Record* const found = find(hash))
            return found;
        if (size_ >= maximumRecords_)
            return nullptr;
        if ((size_ + 1) * 2 > records_.size())
            grow();
        return insertUnchecked(hash);
    }

    void erase(Record& record) noexcept
    {
        std::size_t hole = static_cast<std::size_t>(&record - records_.data());
        for (std::size_t index = next(hole); records_[index].used; index = next(index)) {
            std::size_t const ideal = homeIndex(records_[index].hash);
            bool const staysReachable = hole <= index ? (hole < ideal && ideal <= index) : (hole < ideal || ideal <= index);
            if (staysReachable)
                continue;
            records_[hole] = records_[index];
            hole = index;
        }
        records_[hole] = Record {};
        --size_;
    }

    /// \brief Calls the visitor for every record and erases those for which it returns true; may visit a record twice.
    template <typename Visitor>
    void eraseIf(Visitor visitor)
    {
        for (std::size_t index = 0; index < records_.size();) {
            if (records_[index].used && visitor(records_[index]))
                erase(records_[index]);
            else
                ++index;
        }
    }

    template <typename Visitor>
    void forEach(Visitor visitor)
    {
        for (Record& record : records_) {
            if (record.used)
                visitor(record);
        }
    }

    /// \brief Visits the records of one part of the table; successive calls continue with the next part.
    ///
    /// \param parts  number of calls that visit the whole table
    template <typename Visitor>
    void visitNextPart(std::size_t parts, Visitor visitor)
    {
        std::size_t const end = std::min(cursor_ + (records_.size() + parts - 1) / parts, records_.size());
        for (; cursor_ < end; ++cursor_) {
            if (records_[cursor_].used)
                visitor(records_[cursor_]);
        }
        if (cursor_ == records_.size())
            cursor_ = 0;
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    static constexpr std::size_t firstCapacity = 256;

    [[nodiscard]] std::size_t homeIndex(std::uint64_t hash) const noexcept { return hash & (records_.size() - 1); }
    [[nodiscard]] std::size_t next(std::size_t index) const noexcept { return (index + 1) & (records_.size() - 1); }

    Record* insertUnchecked(std::uint64_t hash) noexcept
    {
        std::size_t index = homeIndex(hash);
        while (records_[index].used)
            index = next(index);
        Record& record = records_[index];
        record = Record {};
        record.hash = hash;
        record.used = true;
        ++size_;
        return &record;
    }

    void grow()
    {
        std::vector<Record> old(records_.size() * 2);
        old.swap(records_);
        size_ = 0;
        for (Record const& record : old) {
            if (record.used)
                *insertUnchecked(record.hash) = record;
        }
    }

    std::vector<Record> records_;
    std::size_t maximumRecords_;
    std::size_t size_ { 0 };
    std::size_t cursor_ { 0 };
};

} // namespace plantaindrift
