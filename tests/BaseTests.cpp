// Guards against wrong parsing of addresses, unstable hashes, and errors that lose their kind.

#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace plantaindrift;

BOOST_AUTO_TEST_CASE(EndpointsRoundTrip)
{
    for (std::string_view const text : { "0.0.0.0:1", "127.0.0.1:6081", "255.255.255.255:65535" })
        BOOST_TEST(formatEndpoint(parseEndpoint(text).value()) == text);
}

BOOST_AUTO_TEST_CASE(MalformedEndpointsAreRefused)
{
    for (std::string_view const text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0:1", "1.2.3.256:1", "1.2.3.4:5x", "a.b.c.d:1", "1..2.3:4", "-1.2.3.4:5" })
        BOOST_TEST(!parseEndpoint(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(ErrorsKeepTheirKind)
{
    absl::Status const status = makeError(ErrorKind::LostRace, "position 7 was taken by ana; run diff and apply again");
    BOOST_TEST((errorKind(status) == ErrorKind::LostRace));
    BOOST_TEST(exitCode(status) == 3);
    BOOST_TEST(exitCode(absl::OkStatus()) == 0);
    BOOST_TEST(exitCode(absl::InternalError("other")) == 1);
}

// A drain must not change the candidate order, or entries that learn of it at different times would disagree.
BOOST_AUTO_TEST_CASE(DrainingKeepsTheFingerprint)
{
    std::array<Member, 2> members;
    members[0].name = "b";
    members[1].name = "a";
    for (Member& member : members)
        member.service = "rota-desk";
    std::uint32_t const before = makeServiceView("rota-desk", members).fingerprint;
    members[0].draining = true;
    members[0].state = MemberState::Draining;
    BOOST_TEST(makeServiceView("rota-desk", members).fingerprint == before);
    members[0].state = MemberState::Dead;
    BOOST_TEST(makeServiceView("rota-desk", members).fingerprint != before);
    members[0].state = MemberState::Left;
    BOOST_TEST(makeServiceView("rota-desk", members).targets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RendezvousSharesFollowWeights)
{
    constexpr int keys = 20000;
    int heavyWins = 0;
    for (int key = 0; key < keys; ++key) {
        double const heavy = rendezvousScore(hashText("heavy"), hashText(std::to_string(key)), 3);
        double const light = rendezvousScore(hashText("light"), hashText(std::to_string(key)), 1);
        heavyWins += heavy > light ? 1 : 0;
    }
    BOOST_TEST(heavyWins > keys * 73 / 100);
    BOOST_TEST(heavyWins < keys * 77 / 100);
}
