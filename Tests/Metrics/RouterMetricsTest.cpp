#include <Carawaykeel/Ingress/RouterMetrics.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <string>

namespace Carawaykeel::Tests {

namespace {

Ingress::RequestResult makeResult(const std::string &service, std::string_view outcome)
{
    return {Base::ServiceName(service), outcome, Base::Milliseconds(40), Base::Milliseconds(20),
        Base::Milliseconds(), 2};
}

std::string pageOf(const Ingress::RouterMetrics &metrics)
{
    Metrics::PrometheusWriter writer;
    metrics.writeTo(writer);
    return writer.take();
}

bool contains(const std::string &page, std::string_view line)
{
    return page.find(line) != std::string::npos;
}

} // namespace

/// Metrics page that Prometheus scrapes.
class RouterMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterMetricsTest);
    CPPUNIT_TEST(outcomesAndDurationsAreCountedByService);
    CPPUNIT_TEST(everyMetricHasOneHeader);
    CPPUNIT_TEST(servicesBeyondLimitAreCountedTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    void outcomesAndDurationsAreCountedByService()
    {
        Ingress::RouterMetrics metrics;
        metrics.record(makeResult("a", "served"));
        metrics.record(makeResult("a", "served"));
        metrics.record(makeResult("", "not_found"));
        const auto page = pageOf(metrics);
        CPPUNIT_ASSERT(
            contains(page, "carawaykeel_requests_total{service=\"a\",outcome=\"served\"} 2\n"));
        CPPUNIT_ASSERT(contains(
            page, "carawaykeel_requests_total{service=\"none\",outcome=\"not_found\"} 1\n"));
        CPPUNIT_ASSERT(contains(page, "carawaykeel_repeats_total{service=\"a\"} 2\n"));
        CPPUNIT_ASSERT(contains(page, "carawaykeel_first_event_seconds_count{service=\"a\"} 2\n"));
        CPPUNIT_ASSERT(
            contains(page, "carawaykeel_request_seconds_bucket{service=\"a\",le=\"+Inf\"} 2\n"));
    }

    void everyMetricHasOneHeader()
    {
        Ingress::RouterMetrics metrics;
        metrics.record(makeResult("a", "served"));
        metrics.record(makeResult("b", "served"));
        const auto page = pageOf(metrics);
        const std::string head = "# TYPE carawaykeel_request_seconds histogram\n";
        const auto first = page.find(head);
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string::npos, page.find(head, first + 1));
    }

    /// A configuration with hundreds of services must not make the page too long.
    void servicesBeyondLimitAreCountedTogether()
    {
        Ingress::RouterMetrics metrics;
        for (int n = 0; n < 1'000; ++n)
            metrics.record(makeResult(fmt::format("service-{:04}", n), "served"));
        const auto page = pageOf(metrics);
        CPPUNIT_ASSERT(contains(
            page, "carawaykeel_requests_total{service=\"other\",outcome=\"served\"} 968\n"));
        CPPUNIT_ASSERT(!contains(page, "service-0032"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterMetricsTest);

} // namespace Carawaykeel::Tests
