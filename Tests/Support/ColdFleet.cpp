#include <Support/ColdFleet.h>

#include <fmt/core.h>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr Base::Milliseconds RewriteInterval{1'200};
constexpr std::int64_t MaxDeliveryMilliseconds = 500;
constexpr Base::Milliseconds OneSecond{1'000};

std::shared_ptr<const Forwarding::RouterConfiguration> makeConfiguration()
{
    Forwarding::ServiceDefinition service;
    service.name = Service;
    service.coldTime = ColdFleet::ColdTime;
    service.coldRequestsPerSecond = ColdFleet::ColdRequestsPerSecond;
    return std::make_shared<const Forwarding::RouterConfiguration>(1,
        std::vector<Forwarding::Route>{}, std::vector<Forwarding::Team>{},
        std::vector<Forwarding::ServiceDefinition>{service}, Forwarding::CallerLimits());
}

} // namespace

/// The scheduler of one instance, whose clock has an offset. Its tasks end with the instance.
class ColdFleet::LocalScheduler : public Base::Scheduler
{
public:
    LocalScheduler(VirtualWorld &world, Base::Milliseconds offset)
        : m_world(world)
        , m_offset(offset)
    {
    }

    Base::Milliseconds now() const override { return m_world.now() + m_offset; }
    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_world.schedule(delay, [alive = std::weak_ptr(m_alive), task = std::move(task)] {
            if (!alive.expired())
                task();
        });
    }

    std::weak_ptr<bool> lifetime() const { return m_alive; }

private:
    VirtualWorld &m_world;
    const Base::Milliseconds m_offset;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

struct ColdFleet::Instance
{
    Instance(ColdFleet &fleet, FakeTable &permitTable, const Base::InstanceId &instanceId)
        : id(instanceId)
        , scheduler(fleet.m_world, Base::Milliseconds(fleet.m_world.draw(1, 1'000'000)))
        , log(id, logSink)
        , table(fleet.m_world, permitTable, id.name.text(),
              [this, alive = scheduler.lifetime()](auto task) {
                  // Replies may arrive after the end of the instance.
                  if (!alive.expired())
                      scheduler.schedule(Base::Milliseconds(), std::move(task));
              })
        , permits(
              id, table, scheduler, pool,
              [&fleet, this] { return fleet.membersOf(id.name.text()); }, log)
    {
        if (!fleet.m_defects.hasNoLimit)
            pool.coldServers().setPolicy(Forwarding::ColdServerPolicy());
        pool.coldServers().setConfiguration(makeConfiguration());
        permits.start();
    }

    const Base::InstanceId id;
    LocalScheduler scheduler;
    Base::RandomEngine random{1};
    Forwarding::ServerPool pool{Base::DataCentre("dc"), {}, random};
    MemoryLogSink logSink;
    Logging::Logger log;
    FakeTableClient table;
    Ingress::ColdPermitStore permits;
};

ColdFleet::ColdFleet(VirtualWorld &world, int servers, const ColdFleetDefects &defects)
    : m_world(world)
    , m_defects(defects)
    , m_table(world)
    , m_servers(static_cast<std::size_t>(servers))
{
    restartServers(0, servers);
}

void ColdFleet::join(const std::string &name)
{
    auto &separate = m_separateTables[name];
    if (!separate)
        separate = std::make_unique<FakeTable>(m_world);
    const Base::InstanceId id{Base::InstanceName(name), ++m_lastIncarnation};
    m_instances[name] =
        std::make_shared<Instance>(*this, m_defects.hasSeparateTables ? *separate : m_table, id);
}

std::vector<std::string> ColdFleet::instanceNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, instance] : m_instances)
        names.push_back(name);
    return names;
}

std::vector<Base::InstanceId> ColdFleet::membersOf(const std::string &name) const
{
    const auto partitionOf = [this](const std::string &member) {
        const auto it = m_partitions.find(member);
        return it == m_partitions.end() ? 0 : it->second;
    };
    std::vector<Base::InstanceId> members;
    for (const auto &[member, instance] : m_instances) {
        if (partitionOf(member) == partitionOf(name))
            members.push_back(instance->id);
    }
    return members;
}

void ColdFleet::restartServers(int first, int count)
{
    for (int n = first; n < first + count; ++n) {
        auto &server = m_servers.at(static_cast<std::size_t>(n));
        const auto ended = server.entry.name;
        for (const auto &[name, instance] : m_instances) {
            m_world.schedule(Base::Milliseconds(m_world.draw(0, MaxDeliveryMilliseconds)),
                [this, weak = std::weak_ptr(instance), ended] {
                    const auto current = weak.lock();
                    if (current && m_table.isReachableFrom(current->id.name.text()))
                        current->pool.remove(ended);
                });
        }
        const auto incarnation = ++m_lastIncarnation;
        server.entry.name = Base::ServerName(fmt::format("server-{}", incarnation));
        server.entry.service = Service;
        server.entry.address = fmt::format("127.0.0.1:{}", 1'000 + n);
        server.entry.dataCentre = Base::DataCentre("dc");
        server.entry.startedAt = static_cast<std::int64_t>(incarnation);
        server.entry.hasWarmUpTime = true;
        server.coldUntil = m_world.now() + ColdTime;
        announce(n, incarnation);
    }
}

void ColdFleet::announce(int index, std::uint64_t incarnation)
{
    const auto &server = m_servers.at(static_cast<std::size_t>(index));
    auto entry = server.entry;
    if (entry.startedAt != static_cast<std::int64_t>(incarnation))
        return;
    entry.remainingWarmUpTime = std::max(server.coldUntil - m_world.now(), Base::Milliseconds());
    for (const auto &[name, instance] : m_instances) {
        m_world.schedule(Base::Milliseconds(m_world.draw(0, MaxDeliveryMilliseconds)),
            [this, weak = std::weak_ptr(instance), entry] {
                const auto current = weak.lock();
                if (!current || !m_table.isReachableFrom(current->id.name.text()))
                    return;
                current->pool.addOrUpdate(entry);
                current->pool.onEntryReceived(entry, current->scheduler.now());
            });
    }
    m_world.schedule(RewriteInterval, [this, index, incarnation] { announce(index, incarnation); });
}

bool ColdFleet::sendRequest()
{
    if (m_instances.empty())
        return false;
    const auto at = m_world.draw(0, static_cast<std::int64_t>(m_instances.size()) - 1);
    auto &instance = *std::next(m_instances.begin(), at)->second;
    const auto now = instance.scheduler.now();
    const auto *selected = instance.pool.selectServer({Service, {}, {}}, now);
    if (!selected)
        return false;
    const auto name = selected->entry.name;
    instance.pool.onRequestSent(name, {}, now);
    const auto server = std::ranges::find_if(
        m_servers, [&](const auto &candidate) { return candidate.entry.name == name; });
    // Another incarnation responds with 421.
    const bool isServed = server != m_servers.end();
    instance.pool.onAttemptEnded(name, !isServed, now);
    if (isServed && m_world.now() < server->coldUntil)
        m_coldRequests[name].push_back(m_world.now());
    return isServed;
}

void ColdFleet::check() const
{
    for (const auto &[name, times] : m_coldRequests) {
        for (std::size_t first = 0; first + MaxRequestsPerSecond < times.size(); ++first) {
            if (times[first + MaxRequestsPerSecond] - times[first] < OneSecond) {
                throw std::runtime_error(fmt::format("{} got more than {} requests in the second "
                                                     "from {} ms on",
                    name.text(), MaxRequestsPerSecond, times[first].count()));
            }
        }
    }
}

int ColdFleet::coldRequests() const
{
    std::size_t count = 0;
    for (const auto &[name, times] : m_coldRequests)
        count += times.size();
    return static_cast<int>(count);
}

} // namespace Carawaykeel::Tests
