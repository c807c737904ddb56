#include "RouterProcess.h"

#include "ExitCodes.h"

#include <Carawaykeel/Adapters/WorkerPool.h>
#include <Carawaykeel/Configuration/ValidationError.h>
#include <Carawaykeel/Ingress/ProcessMemory.h>
#include <Carawaykeel/Ingress/Router.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>
#include <Carawaykeel/Ingress/SettingsWatcher.h>
#include <Carawaykeel/Logging/StreamLogSink.h>
#include <Carawaykeel/Net/SignalListener.h>
#include <platform/ConfigurationDecoder.h>
#include <platform/PlatformDialect.h>
#include <platform/ServerEntryDecoder.h>
#include <platform/StoreCallCounter.h>
#include <platform/StoreClient.h>
#include <platform/StoreFeed.h>
#include <platform/WireNames.h>

#include <Poco/Exception.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace Carawaykeel {

namespace {

/// Time that the process waits at exit for the reader of its log.
constexpr Base::Milliseconds FinalFlushTimeout{200};

/// A new configuration must be in force within two seconds, an evacuation within five.
constexpr CarawaykeelPlatform::FeedTiming OperatorFeedTiming{
    Base::Milliseconds(1'000), Base::Milliseconds(50)};
/// Each server writes its row every second or so, so that the table of a large fleet changes all
/// the time. A server that leaves goes on for two seconds.
constexpr CarawaykeelPlatform::FeedTiming ServerFeedTiming{
    Base::Milliseconds(500), Base::Milliseconds(500)};
/// Maximum documents that wait for the decoding thread; each feed has at most one.
constexpr std::size_t MaxQueuedDocuments = 8;

namespace Names = CarawaykeelPlatform::WireNames;

/// Returns the number of descriptors that this process may open, or 0 if it is not limited.
std::size_t descriptorLimit()
{
    rlimit limit{};
    const bool isLimited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isLimited ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

int serve(Ingress::RouterSettings settings, const std::string &file, std::string document)
{
    std::signal(SIGPIPE, SIG_IGN);
    Ingress::ProcessMemory::configureAllocator();
    Ingress::ProcessMemory memory;
    const auto descriptors = descriptorLimit();
    if (settings.maxDescriptors == 0 || (descriptors > 0 && descriptors < settings.maxDescriptors))
        settings.maxDescriptors = descriptors;
    Net::Reactor reactor;
    // Comes before all threads, so that they inherit the blocked signals.
    Net::SignalListener::SignalHandler onSignal;
    const Net::SignalListener signals(
        reactor, {SIGTERM, SIGINT, SIGHUP}, [&onSignal](int signal) { onSignal(signal); });
    Logging::StreamLogSink logSink(STDOUT_FILENO, settings.log);
    const CarawaykeelPlatform::PlatformDialect dialect;
    CarawaykeelPlatform::StoreCallCounter tableCalls;
    CarawaykeelPlatform::StoreClient store(
        settings.tableAddress, settings.tableTimeout, reactor, tableCalls);
    Ingress::Router router(settings, reactor,
        {dialect, store, CarawaykeelPlatform::tryDecodeServerEntry,
            CarawaykeelPlatform::tryDecodeConfiguration, Names::ConfigurationKey,
            Names::EvacuationKeyPrefix,
            [&tableCalls](Metrics::PrometheusWriter &writer) { tableCalls.writeTo(writer); },
            &memory},
        logSink);
    Adapters::WorkerPool decoder(1, MaxQueuedDocuments);
    // Evacuations come first: decoding a large configuration takes long on a small VM.
    CarawaykeelPlatform::StoreFeed operatorTable(settings.tableAddress, Names::OperatorTable,
        OperatorFeedTiming, settings.tableTimeout, reactor, decoder, tableCalls,
        router.evacuationSubscriber());
    operatorTable.addListener(router.configurationSubscriber());
    CarawaykeelPlatform::StoreFeed servers(settings.tableAddress, Names::ServerTable,
        ServerFeedTiming, settings.tableTimeout, reactor, decoder, tableCalls,
        router.serverListSubscriber());
    Ingress::SettingsWatcher watcher(file, std::move(document), reactor,
        [&router](const Ingress::ParsedRouterSettings &parsed) { router.applySettings(parsed); });
    onSignal = [&](int signal) {
        if (signal == SIGHUP)
            return watcher.poll();
        router.shutDown();
    };
    router.start();
    watcher.start();
    operatorTable.start();
    servers.start();
    reactor.run();
    // Another thread still waits for documents and refers to the objects above, so the
    // process exits without running destructors.
    logSink.flush(FinalFlushTimeout);
    std::_Exit(ExitOk);
}

} // namespace

int runRouter(const std::string &settingsFile, bool isCheckOnly)
{
    std::ifstream stream(settingsFile);
    if (!stream) {
        fmt::print(stderr, "{}: (document): expected a file that can be read\n", settingsFile);
        return ExitBadInput;
    }
    std::string document{std::istreambuf_iterator<char>(stream), {}};
    const auto parsed = Ingress::parseRouterSettings(document);
    if (!parsed.errors.empty()) {
        fmt::print(stderr, "{}", Configuration::formatErrors(parsed.errors, settingsFile));
        return ExitBadInput;
    }
    if (isCheckOnly)
        return ExitOk;
    try {
        return serve(parsed.settings, settingsFile, std::move(document));
    } catch (const Poco::Exception &ex) {
        fmt::print(stderr, "level=fatal event=cannot_start reason=\"{}\"\n", ex.displayText());
        return ExitUnreachable;
    }
}

} // namespace Carawaykeel
