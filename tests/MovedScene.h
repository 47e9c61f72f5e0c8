#pragma once

#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace relay_scene {

inline constexpr std::string_view nextService = "desk-next";
inline constexpr std::string_view otherService = "ledger";

// A caller's timeout for a request is 2.5 s; retransmissions follow 200 ms, 600 ms and 1.4 s after the first copy.
inline constexpr std::chrono::milliseconds callerTimeout { 2500 };

/// \brief Part of the new flows of the address that a service gets.
struct Share {
    std::string_view service;
    std::uint16_t share { 100 };
};

inline Configuration shared(std::vector<Share> const& shares)
{
    Configuration configuration;
    for (Share const& share : shares) {
        Service service;
        service.name = share.service;
        service.addresses.push_back({ serviceAddress, Protocol::Tcp });
        service.addresses.back().share = share.share;
        configuration.services.push_back(service);
    }
    return configuration;
}

/// \brief Two services with three targets each; open flows at both of them if both have a share.
struct MovedScene : Scene {
    /// \param uptime  of the agents when the first flow opens
    explicit MovedScene(std::size_t entryCount, std::vector<Share> const& shares = { { mainService, 90 }, { nextService, 10 } }, Duration uptime = 12s)
        : Scene(entryCount, 3)
    {
        for (std::size_t index = 0; index < 3; ++index)
            addAgent(nextService);
        publishView();
        configure(shared(shares));
        runFor(uptime);
        for (std::size_t index = 0; index < flowCount; ++index) {
            open(index % entryCount);
            runFor(20ms);
        }
        runFor(1s);
    }

    static constexpr std::size_t flowCount = 40;

    void restartEntries()
    {
        for (std::size_t index = 0; index < entries.size(); ++index)
            startEntry(index);
    }

    void checkAfterRestartOfEntries()
    {
        restartEntries();
        runFor(500ms);
        checkThatAllAreServed();
    }

    // Sends a request on each flow, with the retransmissions of a caller, and checks that all are answered.
    void checkThatAllAreServed()
    {
        for (std::unique_ptr<CallerFlow> const& flow : flows)
            request(*flow);
        TimePoint const end = now() + callerTimeout;
        for (Duration const wait : { 200ms, 400ms, 800ms }) {
            runFor(wait);
            for (std::unique_ptr<CallerFlow> const& flow : flows) {
                if (!flow->requests.back().answered)
                    repeatRequest(*flow);
            }
        }
        runFor(end - now());
        for (std::unique_ptr<CallerFlow> const& flow : flows) {
            BOOST_TEST(!flow->requests.back().reset);
            BOOST_TEST(flow->requests.back().answered.has_value());
        }
        BOOST_TEST(decisions.count("reset_lost") == 0U);
    }
};

} // namespace relay_scene
