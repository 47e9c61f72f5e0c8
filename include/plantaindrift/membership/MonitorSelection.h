#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantaindrift {

/// \brief Chooses the entries that monitor each member: the 3 highest rendezvous scores of its name.
///
/// The choice is kept per member and corrected when one entry comes or goes, because ranking 790 entries for
/// 9,000 members anew takes a tenth of a second. An entry never monitors itself.
class MonitorSelection {
public:
    static constexpr std::size_t monitorCount = 3;

    /// \param self  name of this node; it need not be an entry
    explicit MonitorSelection(std::string_view self);

    void addEntry(std::string_view name);
    void removeEntry(std::string_view name);
    void addMember(std::string_view name);
    void removeMember(std::string_view name);

    /// \brief Names of a member's monitors, best first; works for unknown members too.
    [[nodiscard]] std::vector<std::string> monitorsOf(std::string_view member) const;

    /// \brief Members that this node began or ceased to monitor since the last call.
    struct Changes {
        std::vector<std::string> gained;
        std::vector<std::string> lost;
    };
    [[nodiscard]] Changes takeChanges();

private:
    struct Candidate {
        std::uint64_t score { 0 };
        std::uint64_t entry { 0 }; ///< hash of the entry's name; 0 is an empty place
    };
    using Ranking = std::array<Candidate, monitorCount>;
    struct Placement {
        std::string name;
        Ranking ranking {};
    };

    [[nodiscard]] Ranking rank(std::uint64_t member) const;
    void update(Placement& placement, Ranking const& ranking);
    [[nodiscard]] bool includesSelf(Ranking const& ranking) const noexcept;

    std::uint64_t self_;
    std::unordered_map<std::uint64_t, std::string> entries_;
    std::unordered_map<std::uint64_t, Placement> members_;
    std::map<std::string, bool> changes_; ///< true: gained
};

} // namespace plantaindrift
