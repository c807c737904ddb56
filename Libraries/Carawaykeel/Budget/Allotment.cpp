#include <Carawaykeel/Budget/Allotment.h>

#include <algorithm>

namespace Carawaykeel::Budget {

Allotment Allotment::closed(Base::Tokens countedAsSpent)
{
    Allotment allotment;
    allotment.spent = countedAsSpent;
    return allotment;
}

Base::Tokens Allotment::spendLimitAt(Base::Milliseconds serviceNow) const
{
    const auto age =
        std::clamp(serviceNow - reportedAt - growthDelay, Base::Milliseconds(), growthTime);
    return spent + immediate + deferred * age.count() / growthTime.count();
}

Base::Tokens minSpendLimit(std::span<const Allotment> candidates, Base::Milliseconds serviceNow)
{
    if (candidates.empty())
        return {};
    auto limit = candidates.front().spendLimitAt(serviceNow);
    for (const auto &allotment : candidates)
        limit = std::min(limit, allotment.spendLimitAt(serviceNow));
    return limit;
}

const Allotment *AllotmentRow::find(const Base::InstanceId &holder) const
{
    const auto it = std::ranges::find(allotments, holder, &Allotment::holder);
    return it == allotments.end() ? nullptr : &*it;
}

Base::Tokens AllotmentRow::closeByEstimate(
    const Base::InstanceId &holder, Base::Milliseconds serviceNow)
{
    const auto it = std::ranges::find(allotments, holder, &Allotment::holder);
    if (it == allotments.end())
        return {};
    const auto countedAsSpent = it->spendLimitAt(serviceNow);
    allotments.erase(it);
    closedSpent += countedAsSpent;
    estimatedClosings.push_back({holder, countedAsSpent, serviceNow});
    return countedAsSpent;
}

void AllotmentRow::closeExactly(const Base::InstanceId &holder, Base::Tokens spent)
{
    if (const auto it = std::ranges::find(allotments, holder, &Allotment::holder);
        it != allotments.end()) {
        allotments.erase(it);
        closedSpent += spent;
    }
    if (const auto it = std::ranges::find(estimatedClosings, holder, &EstimatedClosing::holder);
        it != estimatedClosings.end()) {
        closedSpent -= std::max(it->countedAsSpent - spent, Base::Tokens());
        estimatedClosings.erase(it);
    }
}

void AllotmentRow::dropExpiredEstimates(Base::Milliseconds serviceNow)
{
    std::erase_if(estimatedClosings, [&](const EstimatedClosing &closing) {
        return serviceNow - closing.closedAt > CorrectionWindow;
    });
}

Base::Tokens AllotmentRow::totalAllotted() const
{
    auto sum = closedSpent;
    for (const auto &allotment : allotments)
        sum += allotment.total();
    return sum;
}

Base::Tokens AllotmentRow::unspent() const
{
    Base::Tokens sum;
    for (const auto &allotment : allotments)
        sum += allotment.immediate + allotment.deferred;
    return sum;
}

} // namespace Carawaykeel::Budget
