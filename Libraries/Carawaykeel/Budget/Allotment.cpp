#include <Carawaykeel/Budget/Allotment.h>

#include <algorithm>
#include <xxhash.h>

namespace Carawaykeel::Budget {

Allotment Allotment::closed(Base::Tokens countedAsSpent, Base::Milliseconds closedAt)
{
    Allotment allotment;
    allotment.spent = countedAsSpent;
    allotment.reportedAt = closedAt;
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

Base::InstanceId closingKeyOf(const Base::InstanceId &holder)
{
    const auto &name = holder.name.text();
    return {Base::InstanceName(), XXH64(name.data(), name.size(), holder.incarnation)};
}

const Allotment *AllotmentRow::find(const Base::InstanceId &holder) const
{
    const auto it = std::ranges::find(allotments, holder, &Allotment::holder);
    return it == allotments.end() ? nullptr : &*it;
}

const ClosedAllotment *AllotmentRow::findClosing(const Base::InstanceId &holder) const
{
    const auto it = std::ranges::find(closings, closingKeyOf(holder), &ClosedAllotment::key);
    return it == closings.end() ? nullptr : &*it;
}

void AllotmentRow::removeHolder(const Base::InstanceId &holder, Base::Tokens closedAs)
{
    if (!find(holder))
        closedSpent -= closedAs;
    std::erase_if(allotments, [&](const Allotment &each) { return each.holder == holder; });
    std::erase_if(closings,
        [key = closingKeyOf(holder)](const ClosedAllotment &each) { return each.key == key; });
}

void AllotmentRow::addClosing(
    const Base::InstanceId &holder, Base::Tokens countedAsSpent, Base::Milliseconds serviceNow)
{
    closedSpent += countedAsSpent;
    closings.push_back({closingKeyOf(holder), countedAsSpent, serviceNow});
}

Base::Tokens AllotmentRow::closeByEstimate(
    const Base::InstanceId &holder, Base::Milliseconds serviceNow)
{
    const auto *allotment = find(holder);
    if (!allotment)
        return {};
    const auto countedAsSpent = allotment->spendLimitAt(serviceNow);
    removeHolder(holder, {});
    addClosing(holder, countedAsSpent, serviceNow);
    return countedAsSpent;
}

void AllotmentRow::closeExactly(
    const Base::InstanceId &holder, Base::Tokens spent, Base::Milliseconds serviceNow)
{
    if (find(holder)) {
        removeHolder(holder, {});
        return addClosing(holder, spent, serviceNow);
    }
    const auto it = std::ranges::find(closings, closingKeyOf(holder), &ClosedAllotment::key);
    if (it == closings.end() || it->countedAsSpent <= spent)
        return;
    closedSpent -= it->countedAsSpent - spent;
    it->countedAsSpent = spent;
}

bool AllotmentRow::isRetained(Base::Milliseconds closedAt, Base::Milliseconds serviceNow)
{
    return serviceNow - closedAt <= ClosingRetention;
}

void AllotmentRow::dropExpiredClosings(Base::Milliseconds serviceNow)
{
    std::erase_if(closings, [serviceNow](const ClosedAllotment &each) {
        return !isRetained(each.closedAt, serviceNow);
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
