#include <Carawaykeel/Forwarding/ServerMemory.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

void ServerMemory::setCapacity(const Base::ServiceName &service, Base::Tokens capacity)
{
    m_services[service].capacity = capacity;
}

void ServerMemory::onRequestSent(const Base::ServiceName &service, Base::Tokens size)
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return;
    auto &average = it->second.averageSize;
    const auto sample = static_cast<double>(size.count());
    average = average > 0 ? average + SizeWeight * (sample - average) : sample;
}

bool ServerMemory::fits(const KnownServer &server, double requests, Base::Tokens size) const
{
    const auto it = m_services.find(server.entry.service);
    if (it == m_services.end() || it->second.capacity == Base::Tokens())
        return true;
    const auto &service = it->second;
    const auto others = std::max(requests - server.inFlight, 0.0);
    // Before the first request, this one's size is the best guess for those of others.
    const auto averageSize =
        service.averageSize > 0 ? service.averageSize : static_cast<double>(size.count());
    const auto used = static_cast<double>(server.tokensInMemory.count()) + others * averageSize;
    return used + static_cast<double>(size.count())
        <= UsableShare * static_cast<double>(service.capacity.count());
}

} // namespace Carawaykeel::Forwarding
