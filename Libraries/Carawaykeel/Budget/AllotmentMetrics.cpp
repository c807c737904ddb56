// The part of AllotmentHolder that counts.
#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>

namespace Carawaykeel::Budget {

void AllotmentHolder::writeMetrics(Metrics::PrometheusWriter &text) const
{
    Base::Tokens spent;
    Base::Tokens atHand;
    Base::Tokens borrowed;
    std::size_t waiting = 0;
    for (const auto &[team, account] : m_accounts) {
        spent += account.spent;
        atHand += std::max(spendable(account), Base::Tokens());
        borrowed += account.borrowed;
        waiting += account.waiting.size();
    }
    text.writeGauge("tokens_spent", "Tokens spent or set aside in this life.", spent.count());
    text.writeGauge("tokens_at_hand", "Tokens that may be spent now.", atHand.count());
    text.writeGauge("tokens_borrowed", "Tokens lent by others and not spent.", borrowed.count());
    text.writeGauge(
        "holds_waiting", "Requests that wait for tokens.", static_cast<std::int64_t>(waiting));
    text.writeGauge(
        "allotment_table_reached", "1 while the table answers.", m_isTableReached ? 1 : 0);
    text.writeCounter("holds_granted_total", "Requests that got their tokens.", m_counters.granted);
    text.writeCounter("holds_exhausted_total", "Requests whose team had too little left.",
        m_counters.refusedExhausted);
    text.writeCounter("holds_unreachable_total", "Requests whose team's tokens were out of reach.",
        m_counters.refusedUnreachable);
    text.writeCounter(
        "allotment_reports_total", "Reports that the table took.", m_counters.reports);
    text.writeCounter("allotment_reports_unanswered_total", "Reports without an answer.",
        m_counters.reportsUnanswered);
    text.writeCounter("allotment_conflicts_total", "Reports that another instance's crossed.",
        m_counters.reportConflicts);
    text.writeCounter("allotment_refused_total", "Reports that the table turned away.",
        m_counters.reportsRefused);
    text.writeCounter("allotment_overdrafts_total",
        "Times that more was spent here than the table sets aside for it.", m_counters.overdrafts);
    text.writeCounter("tokens_written_off_total",
        "Tokens of dead lives counted as spent unreported.",
        static_cast<std::uint64_t>(std::max<std::int64_t>(m_counters.tokensWrittenOff, 0)));
}

} // namespace Carawaykeel::Budget
