// The part of AllotmentHolder that writes metrics.
#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>

namespace Carawaykeel::Budget {

void AllotmentHolder::writeMetrics(Metrics::PrometheusWriter &writer) const
{
    Base::Tokens spent;
    Base::Tokens spendableTokens;
    Base::Tokens borrowed;
    std::size_t pendingHoldCount = 0;
    for (const auto &[team, account] : m_accounts) {
        spent += account.spent;
        spendableTokens += std::max(spendable(account), Base::Tokens());
        borrowed += account.borrowed;
        pendingHoldCount += account.pendingHolds.size();
    }
    writer.writeGauge("tokens_spent", "Tokens spent or set aside in this life.", spent.count());
    writer.writeGauge("tokens_at_hand", "Tokens that may be spent now.", spendableTokens.count());
    writer.writeGauge("tokens_borrowed", "Tokens lent by others and not spent.", borrowed.count());
    writer.writeGauge("holds_waiting", "Requests that wait for tokens.",
        static_cast<std::int64_t>(pendingHoldCount));
    writer.writeGauge(
        "allotment_table_reached", "1 while the table answers.", m_isTableReachable ? 1 : 0);
    writer.writeCounter(
        "holds_granted_total", "Requests that got their tokens.", m_counters.granted);
    writer.writeCounter("holds_exhausted_total", "Requests whose team had too little left.",
        m_counters.refusedExhausted);
    writer.writeCounter("holds_unreachable_total",
        "Requests whose team's tokens were out of reach.", m_counters.refusedUnavailable);
    writer.writeCounter(
        "allotment_reports_total", "Reports that the table took.", m_counters.reports);
    writer.writeCounter("allotment_reports_unanswered_total", "Reports without an answer.",
        m_counters.reportsWithoutReply);
    writer.writeCounter("allotment_conflicts_total", "Reports that another instance's crossed.",
        m_counters.reportConflicts);
    writer.writeCounter("allotment_refused_total", "Reports that the table turned away.",
        m_counters.reportsRefused);
    writer.writeCounter("allotment_overdrafts_total",
        "Times that more was spent here than the table sets aside for it.", m_counters.overdrafts);
    writer.writeCounter("tokens_written_off_total",
        "Tokens of dead lives counted as spent unreported.",
        static_cast<std::uint64_t>(std::max<std::int64_t>(m_counters.tokensWrittenOff, 0)));
}

} // namespace Carawaykeel::Budget
