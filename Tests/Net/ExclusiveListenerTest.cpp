#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/Net/NetException.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

/// Two listeners cannot share an address.
class ExclusiveListenerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExclusiveListenerTest);
    CPPUNIT_TEST(secondListenerFails);
    CPPUNIT_TEST(addressIsFreeAfterClose);
    CPPUNIT_TEST_SUITE_END();

public:
    void secondListenerFails()
    {
        const auto first = Net::makeExclusiveListener({"127.0.0.1", 0});
        CPPUNIT_ASSERT_THROW(Net::makeExclusiveListener(first.address()), Poco::Net::NetException);
    }

    void addressIsFreeAfterClose()
    {
        Poco::Net::SocketAddress address;
        {
            auto first = Net::makeExclusiveListener({"127.0.0.1", 0});
            address = first.address();
            first.close();
        }
        CPPUNIT_ASSERT_EQUAL(address, Net::makeExclusiveListener(address).address());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExclusiveListenerTest);

} // namespace Carawaykeel::Tests
