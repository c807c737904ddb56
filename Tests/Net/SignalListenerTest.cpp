#include <Carawaykeel/Net/SignalListener.h>

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <unistd.h>
#include <vector>

namespace Carawaykeel::Tests {

class SignalListenerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SignalListenerTest);
    CPPUNIT_TEST(signalsArriveOnTheReactor);
    CPPUNIT_TEST_SUITE_END();

public:
    void signalsArriveOnTheReactor()
    {
        Net::Reactor reactor;
        std::vector<int> received;
        const Net::SignalListener listener(reactor, {SIGUSR1, SIGUSR2}, [&](int signal) {
            received.push_back(signal);
            if (signal == SIGUSR2)
                reactor.stop();
        });
        pthread_kill(pthread_self(), SIGUSR1);
        reactor.schedule(Base::Milliseconds(20), [] { pthread_kill(pthread_self(), SIGUSR2); });
        reactor.run();
        CPPUNIT_ASSERT((received == std::vector<int>{SIGUSR1, SIGUSR2}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SignalListenerTest);

} // namespace Carawaykeel::Tests
