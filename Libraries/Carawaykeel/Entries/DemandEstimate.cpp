#include <Carawaykeel/Entries/DemandEstimate.h>

#include <cmath>
#include <utility>

namespace Carawaykeel::Entries {

namespace {

/// Iterations of each update; the estimate of the last update is a good start.
constexpr int Iterations = 8;
/// Smallest estimate in requests per second. The estimate is multiplied in each iteration, so it
/// would never leave zero.
constexpr double MinDemand = 0.1;

double weightAfter(Base::Milliseconds elapsed, Base::Milliseconds timeConstant)
{
    if (timeConstant <= Base::Milliseconds())
        return 1;
    return 1
        - std::exp(
            -static_cast<double>(elapsed.count()) / static_cast<double>(timeConstant.count()));
}

/// Returns the share of the callers of `from` that are sent to `to`.
double shareOf(const std::map<Base::DataCentre, DataCentreFigures> &shares,
    const Base::DataCentre &from, const Base::DataCentre &to)
{
    const auto row = shares.find(from);
    if (row == shares.end())
        return from == to ? 1 : 0;
    const auto it = row->second.find(to);
    return it == row->second.end() ? 0 : it->second;
}

} // namespace

void DemandEstimate::setShares(std::map<Base::DataCentre, DataCentreFigures> shares)
{
    m_shares = std::move(shares);
}

void DemandEstimate::updateEffectiveShares(const DataCentreFigures &loads, double weight)
{
    std::map<Base::DataCentre, DataCentreFigures> updated;
    for (const auto &[from, unused] : loads) {
        auto &row = updated[from];
        double sum = 0;
        for (const auto &[to, unusedLoad] : loads) {
            const auto before = shareOf(m_effectiveShares, from, to);
            row[to] = before + weight * (shareOf(m_shares, from, to) - before);
            sum += row[to];
        }
        // Callers that were sent to a data centre without VMs by now go on elsewhere.
        for (auto &[to, share] : row)
            share = sum > 0 ? share / sum : (from == to ? 1.0 : 0.0);
    }
    m_effectiveShares = std::move(updated);
}

DataCentreFigures DemandEstimate::solve(const DataCentreFigures &loads) const
{
    // The iteration of Richardson (1972) and Lucy (1974): it keeps the sum of the loads and never
    // gets negative, unlike the solution of the linear equations.
    DataCentreFigures demands;
    for (const auto &[from, load] : loads) {
        const auto it = m_demands.find(from);
        demands[from] = std::max(it == m_demands.end() ? load : it->second, MinDemand);
    }
    for (int n = 0; n < Iterations; ++n) {
        DataCentreFigures expected;
        for (const auto &[from, row] : m_effectiveShares) {
            for (const auto &[to, share] : row)
                expected[to] += demands.at(from) * share;
        }
        for (auto &[from, demand] : demands) {
            double factor = 0;
            for (const auto &[to, share] : m_effectiveShares.at(from)) {
                if (share > 0)
                    factor += share * loads.at(to) / std::max(expected.at(to), MinDemand);
            }
            demand = std::max(demand * factor, MinDemand);
        }
    }
    return demands;
}

void DemandEstimate::update(
    const DataCentreFigures &loads, Base::Milliseconds answerLag, Base::Milliseconds now)
{
    const auto elapsed = now - m_updatedAt;
    const bool isFirst = !std::exchange(m_hasEstimate, true);
    m_updatedAt = now;
    updateEffectiveShares(loads, isFirst ? 1 : weightAfter(elapsed, answerLag));
    auto demands = solve(loads);
    const auto weight = weightAfter(elapsed, SmoothingTime);
    for (auto &[dataCentre, demand] : demands) {
        const auto it = m_demands.find(dataCentre);
        if (it != m_demands.end())
            demand = it->second + weight * (demand - it->second);
    }
    m_demands = std::move(demands);
}

} // namespace Carawaykeel::Entries
