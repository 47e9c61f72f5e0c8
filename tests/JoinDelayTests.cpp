// Guards against flows at targets that entries cannot find: neither gossip nor the store has their agent yet.
#include "plantaindrift/membership/JoinDelay.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const start { 1000s };

} // namespace

BOOST_AUTO_TEST_CASE(AKnownTargetTakesFlowsAtOnce)
{
    JoinDelay delay(start, true);
    BOOST_TEST(!delay.isOver(start));
    delay.recordKnown();
    BOOST_TEST(delay.isOver(start));
}

BOOST_AUTO_TEST_CASE(WithoutAStoreGossipHasToSpreadTheRecord)
{
    JoinDelay const delay(start, false);
    BOOST_TEST(!delay.isOver(start + 900ms));
    BOOST_TEST(delay.isOver(start + 1s));
}

// An entry that starts takes a list of members as complete if it was read up to recordedJoinTime before.
BOOST_AUTO_TEST_CASE(ARecordIsInTheStoreForATimeBeforeTheFirstFlow)
{
    JoinDelay early(start, true);
    early.recordWritten(start + 50ms);
    BOOST_TEST(!early.isOver(start + 900ms));
    BOOST_TEST(early.isOver(start + 1s));
    JoinDelay late(start, true);
    late.recordWritten(start + 700ms);
    late.recordWritten(start + 1s);
    BOOST_TEST(!late.isOver(start + 700ms + recordedJoinTime - 1ms));
    BOOST_TEST(late.isOver(start + 700ms + recordedJoinTime));
}

// A store that does not answer must not keep targets from serving.
BOOST_AUTO_TEST_CASE(AStoreThatDoesNotAnswerDelaysATargetForABoundedTime)
{
    JoinDelay const delay(start, true);
    BOOST_TEST(!delay.isOver(start + 1900ms));
    BOOST_TEST(delay.isOver(start + 2s));
}
