#include <Carawaykeel/Entries/EntrySelection.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <numeric>
#include <random>

namespace Carawaykeel::Tests {

namespace {

using Entries::EntryCandidate;

constexpr std::uint32_t LargeCapacity = 200;
constexpr std::uint32_t SmallCapacity = 48;

/// The VMs of one data centre, named "large-N" and "small-N".
std::vector<EntryCandidate> makeVms(int large, int small)
{
    std::vector<EntryCandidate> vms;
    for (int n = 0; n < large; ++n)
        vms.push_back({fmt::format("large-{}", n), LargeCapacity, 0});
    for (int n = 0; n < small; ++n)
        vms.push_back({fmt::format("small-{}", n), SmallCapacity, 0});
    return vms;
}

/// Requests per second beyond what VMs can carry when each caller keeps to one of the addresses,
/// summed over rounds in which the load that was seen selects the next addresses.
double overload(const std::vector<double> &callers, int large, int small, bool selects)
{
    std::mt19937_64 random(7);
    auto vms = makeVms(large, small);
    double total = 0;
    constexpr int Rounds = 50;
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::string> addresses;
        for (const auto &vm : vms)
            addresses.push_back(vm.address);
        if (selects)
            addresses = Entries::selectEntryAddresses(vms);
        std::vector<double> loads(vms.size());
        for (const double requests : callers) {
            const auto &address = addresses.at(random() % addresses.size());
            const auto it = std::ranges::find(vms, address, &EntryCandidate::address);
            loads.at(static_cast<std::size_t>(it - vms.begin())) += requests;
        }
        for (std::size_t n = 0; n < vms.size(); ++n) {
            vms[n].load = static_cast<std::uint32_t>(loads[n]);
            if (round > 0)
                total += std::max(loads[n] - vms[n].capacity, 0.0);
        }
    }
    return total / (Rounds - 1);
}

} // namespace

/// Where callers of one data centre are sent.
class EntrySelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntrySelectionTest);
    CPPUNIT_TEST(equalVmsAreAllUsed);
    CPPUNIT_TEST(largeVmsCarryWhatTheyCan);
    CPPUNIT_TEST(smallVmsAreAddedWithTheLoad);
    CPPUNIT_TEST(aSecondAddressIsAlwaysGiven);
    CPPUNIT_TEST(responsesAreBounded);
    CPPUNIT_TEST(busyCallerDoesNotOverloadASmallVm);
    CPPUNIT_TEST(capacityIsTheNarrowestResource);
    CPPUNIT_TEST_SUITE_END();

public:
    void equalVmsAreAllUsed()
    {
        for (const std::uint32_t capacity : {0, 100}) {
            std::vector<EntryCandidate> vms;
            for (int n = 0; n < 8; ++n)
                vms.push_back({fmt::format("vm-{}", n), capacity, 0});
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), Entries::selectEntryAddresses(vms).size());
        }
    }

    void largeVmsCarryWhatTheyCan()
    {
        const auto addresses = Entries::selectEntryAddresses(makeVms(3, 49));
        CPPUNIT_ASSERT((addresses == std::vector<std::string>{"large-0", "large-1", "large-2"}));
    }

    void smallVmsAreAddedWithTheLoad()
    {
        std::size_t last = 0;
        for (const std::uint32_t load : {0, 300, 400, 600, 900, 5'000}) {
            auto vms = makeVms(3, 49);
            vms.back().load = load;
            const auto addresses = Entries::selectEntryAddresses(vms);
            const auto capacity = 3 * LargeCapacity + (addresses.size() - 3) * SmallCapacity;
            CPPUNIT_ASSERT(addresses.size() >= last);
            CPPUNIT_ASSERT(addresses.size() == 52 || capacity * 0.6 >= load);
            last = addresses.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(52), last);
    }

    void aSecondAddressIsAlwaysGiven()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), Entries::selectEntryAddresses(makeVms(1, 30)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Entries::selectEntryAddresses(makeVms(1, 0)).size());
        CPPUNIT_ASSERT(Entries::selectEntryAddresses({}).empty());
    }

    void responsesAreBounded()
    {
        CPPUNIT_ASSERT_EQUAL(
            Entries::MaxEntryAddresses, Entries::selectEntryAddresses(makeVms(0, 90)).size());
    }

    /// Pattern: one team's callers send half of a data centre's requests over one address.
    void busyCallerDoesNotOverloadASmallVm()
    {
        std::vector<double> callers(117, 1.5);
        callers.push_back(150);
        const auto before = overload(callers, 3, 49, false);
        const auto after = overload(callers, 3, 49, true);
        const auto load = std::accumulate(callers.begin(), callers.end(), 0.0);
        // Less than a tenth of the requests may be too many for their VM; nearly a third were.
        CPPUNIT_ASSERT(before > 0.25 * load);
        CPPUNIT_ASSERT(after < 0.1 * load);
    }

    void capacityIsTheNarrowestResource()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(200), Entries::estimateCapacity(0.5, 200));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(25), Entries::estimateCapacity(0.12, 10));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(48), Entries::estimateCapacity(0.12, 20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySelectionTest);

} // namespace Carawaykeel::Tests
