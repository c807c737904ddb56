#include <Support/DecoderCatalog.h>

#include <Carawaykeel/Forwarding/EventSplitter.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Membership/GossipMessage.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Carawaykeel/Transport/FrameReader.h>
#include <platform/ConfigurationDecoder.h>
#include <platform/PlatformDialect.h>
#include <platform/ServerEntryDecoder.h>
#include <platform/StoreCalls.h>

#include <cstdlib>

namespace Carawaykeel::Tests {

namespace {

using CarawaykeelPlatform::PlatformDialect;

constexpr std::size_t MaxFrameBytes = 65'536;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

/// Parses a request head and reads all that the router reads from it.
void decodeRequestHead(std::string_view bytes)
{
    const auto outcome =
        Base::toOutcome<Http::RequestHead>([&] { return Http::tryParseRequestHead(bytes); });
    const auto *head = std::get_if<Http::RequestHead>(&outcome);
    if (!head)
        return;
    require(Http::occupiedBytes(**head) <= Http::estimateParsedBytes(bytes));
    const PlatformDialect dialect;
    Base::toOutcome<Forwarding::RequestMetadata>([&] { return dialect.tryReadRequest(**head); });
    Base::toOutcome<Forwarding::EntryQuery>([&] { return dialect.tryReadEntryQuery(**head); });
    Http::BodyDecoder::forRequest(**head);
    dialect.removeReservedHeaders(**head);
}

void decodeResponseHead(std::string_view bytes)
{
    const auto outcome =
        Base::toOutcome<Http::ResponseHead>([&] { return Http::tryParseResponseHead(bytes); });
    if (const auto *head = std::get_if<Http::ResponseHead>(&outcome))
        PlatformDialect().readResponse(**head);
}

/// Decodes a chunked body as a whole and byte by byte, with the same result.
void decodeChunks(std::string_view bytes)
{
    Poco::Net::HTTPRequest head("POST", "/", "HTTP/1.1");
    head.setChunkedTransferEncoding(true);
    auto whole = Http::BodyDecoder::forRequest(head);
    auto pieces = whole;
    std::string wholeBody;
    std::string body;
    require(whole.decode(bytes, wholeBody) <= bytes.size());
    for (const auto &byte : bytes)
        pieces.decode(std::string_view(&byte, 1), body);
    require(whole.isComplete() == pieces.isComplete() && wholeBody == body);
}

void decodeEvents(std::string_view bytes)
{
    Forwarding::EventSplitter splitter;
    std::string events;
    splitter.feed(bytes, events);
}

void decodeQuery(std::string_view bytes)
{
    Poco::Net::HTTPRequest head("GET", std::string(bytes), "HTTP/1.1");
    Base::toOutcome<Forwarding::EntryQuery>(
        [&] { return PlatformDialect().tryReadEntryQuery(head); });
}

void decodeRows(std::string_view bytes)
{
    const Transport::HttpReply reply{200, std::string(bytes)};
    CarawaykeelPlatform::tryDecodePage(reply);
    CarawaykeelPlatform::tryDecodeFeed(reply);
    CarawaykeelPlatform::decodeCommit(reply);
    CarawaykeelPlatform::decodeCommit(Transport::HttpReply{412, std::string(bytes)});
}

void decodeDocuments(std::string_view bytes)
{
    Base::toOutcome<Forwarding::ServerEntry>(
        [&] { return CarawaykeelPlatform::tryDecodeServerEntry("server", bytes); });
    Base::toOutcome<std::shared_ptr<const Forwarding::RouterConfiguration>>(
        [&] { return CarawaykeelPlatform::tryDecodeConfiguration(bytes); });
}

void decodeFrames(std::string_view bytes)
{
    Transport::FrameReader reader(MaxFrameBytes);
    reader.buffer().append(bytes);
    while (const auto frame = reader.next()) {
        Base::toOutcome<Peer::PeerEnvelope>(
            [&] { return Peer::AuthenticatedCodec::tryDecodeBody<Peer::PeerEnvelope>(*frame); });
    }
}

void decodeDatagram(std::string_view bytes)
{
    Base::toOutcome<Membership::GossipMessage>(
        [&] { return Peer::AuthenticatedCodec::tryDecodeBody<Membership::GossipMessage>(bytes); });
}

/// Returns the bytes of a message without its HMAC.
template <typename T>
std::string encodeBody(const T &message)
{
    std::ostringstream stream;
    cereal::BinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

std::string sampleFrame()
{
    const auto body = encodeBody(Peer::PeerEnvelope{{Base::InstanceName("a"), 1},
        {Base::InstanceName("b"), 2}, Peer::ForgetReservations{Base::GrantId("g"), {1, 2, 3}}});
    return Transport::encodeFrameHeader(body.size()) + body;
}

std::string sampleDatagram()
{
    Membership::GossipMessage message;
    message.kind = Membership::GossipKind::Backlogs;
    message.sender.id = {Base::InstanceName("a"), 1};
    message.configurationVersion = 3;
    return encodeBody(message);
}

} // namespace

const std::vector<CataloguedDecoder> &decoderCatalog()
{
    static const std::vector<CataloguedDecoder> Catalog{
        {"request-heads",
            {"POST /a/b?x=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 7\r\nX-Deadline-Ms: "
             "900\r\nX-Token-Counts: 10,20\r\nX-Prompt-Prefix: a1:5,b2:6\r\nContent-Length: "
             "5\r\n\r\n",
                "GET /carawaykeel/resolve?name=a.example&zone=dc HTTP/1.1\r\nHost: "
                "a\r\na:\r\n\r\n"},
            decodeRequestHead},
        {"response-heads",
            {"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Server-Load: 1,2,3\r\nKeep-Alive: "
             "timeout=5\r\nRetry-After: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n"},
            decodeResponseHead},
        {"bodies", {"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n"}, decodeChunks},
        {"events", {"id: 4\ndata: {}\n\ndata: x\r\n\r\n: c\n\n"}, decodeEvents},
        {"queries", {"/carawaykeel/resolve?name=a%2Eexample&zone=dc&x"}, decodeQuery},
        {"rows",
            {R"({"rows":[{"key":"a","value":"dmFsdWU=","ver":3},{"key":"b","removed":true,)"
             R"("ver":4}],"ver":7,"nowMs":1,"hasMore":true})"},
            decodeRows},
        {"documents",
            {R"({"service":"one","address":"127.0.0.1:80","zone":"z","slots":64,"state":"ready",)"
             R"("coldLeftMs":250,"born":1700000000123})",
                R"({"version":1,"routes":[{"name":"u","host":"a","prefix":"/u/","kind":"safe",)"
                R"("timeoutMs":4000,"service":"one"}],"services":[{"name":"one"}],)"
                R"("limits":{"headerBytes":16384}})"},
            decodeDocuments},
        {"messages", {sampleFrame()}, decodeFrames},
        {"datagrams", {sampleDatagram()}, decodeDatagram},
    };
    return Catalog;
}

} // namespace Carawaykeel::Tests
