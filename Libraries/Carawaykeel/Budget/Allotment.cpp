#include <Carawaykeel/Budget/Allotment.h>

#include <algorithm>

namespace Carawaykeel::Budget {

Base::Tokens Allotment::limitAt(Base::Milliseconds serviceNow) const
{
    const auto age =
        std::clamp(serviceNow - reportedAt - growthDelay, Base::Milliseconds(), growthTime);
    return spent + immediate + deferred * age.count() / growthTime.count();
}

Base::Tokens smallestLimit(std::span<const Allotment> possible, Base::Milliseconds serviceNow)
{
    if (possible.empty())
        return {};
    auto limit = possible.front().limitAt(serviceNow);
    for (const auto &allotment : possible)
        limit = std::min(limit, allotment.limitAt(serviceNow));
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
    const auto counted = it->limitAt(serviceNow);
    allotments.erase(it);
    closed += counted;
    estimates.push_back({holder, counted, serviceNow});
    return counted;
}

void AllotmentRow::closeExactly(const Base::InstanceId &holder, Base::Tokens spent)
{
    if (const auto it = std::ranges::find(allotments, holder, &Allotment::holder);
        it != allotments.end()) {
        allotments.erase(it);
        closed += spent;
    }
    if (const auto it = std::ranges::find(estimates, holder, &EstimatedClosing::holder);
        it != estimates.end()) {
        closed -= std::max(it->counted - spent, Base::Tokens());
        estimates.erase(it);
    }
}

void AllotmentRow::forgetEstimates(Base::Milliseconds serviceNow)
{
    std::erase_if(estimates, [&](const EstimatedClosing &closing) {
        return serviceNow - closing.closedAt > CorrectionTime;
    });
}

Base::Tokens AllotmentRow::granted() const
{
    auto sum = closed;
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
