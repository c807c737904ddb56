#include "Misbehaviour.h"

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int CrowdSize = 150;
/// More connections than a process with DaemonLimits::descriptors can hold.
constexpr int ConnectionCrowdSize = 450;
constexpr std::size_t BodyBytes = 2 * 1'024 * 1'024;
constexpr std::size_t PieceBytes = 4'096;

std::string startOfHead(const std::string &path)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n", path);
}

std::string headWithLength(const std::string &path, std::size_t length)
{
    return startOfHead(path) + fmt::format("Content-Length: {}\r\n\r\n", length);
}

std::string headWithChunks(const std::string &path)
{
    return startOfHead(path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

/// A body of BodyBytes in one piece, one byte short.
CallerScript bodyOneByteShort(const std::string &path)
{
    return {headWithLength(path, BodyBytes), std::string(BodyBytes - 1, 'x'), 1};
}

CallerScript bodyInSmallPieces(const std::string &path)
{
    constexpr std::size_t SmallPieceBytes = 512;
    constexpr std::size_t Count = 2'048;
    return {headWithLength(path, SmallPieceBytes * Count + 1), std::string(SmallPieceBytes, 'x'),
        Count, SmallPieceBytes};
}

/// Sends part of a body, then single bytes.
CallerScript trickledBody(const std::string &path)
{
    return {headWithLength(path, BodyBytes) + std::string(BodyBytes / 8, 'x'), "x", 200, 1};
}

CallerScript chunksOfOneByte(const std::string &path)
{
    std::string piece;
    while (piece.size() < PieceBytes)
        piece += chunk(1);
    return {headWithChunks(path), piece, 100};
}

CallerScript chunksWithoutEnd(const std::string &path)
{
    return {headWithChunks(path), chunk(PieceBytes), BodyBytes / PieceBytes};
}

/// Chunks of more content than the limit of 4,194,304 bytes.
CallerScript chunksOverTheLimit(const std::string &path)
{
    return {headWithChunks(path), chunk(PieceBytes), 1'280};
}

CallerScript lengthFarOverTheLimit(const std::string &path)
{
    return {headWithLength(path, 1'000'000'000), std::string(BodyBytes, 'x'), 1};
}

/// A head of legal size with 2,600 fields, and a body that is one byte short.
CallerScript manyFields(const std::string &path)
{
    auto head = startOfHead(path);
    for (int n = 0; n < 2'600; ++n)
        head += "a:\r\n";
    return {head + "Content-Length: 2\r\n\r\nx", "", 0};
}

CallerScript pipelinedRequests(const std::string &path)
{
    constexpr std::size_t Count = 10'000;
    return {"",
        fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n\r\n", path),
        Count};
}

CallerScript halfHead(const std::string &path)
{
    return {startOfHead(path) + "X-Filler: " + std::string(8'192, 'x'), "", 0};
}

CallerScript connectionsOnly(const std::string &)
{
    return {};
}

} // namespace

const std::vector<Misbehaviour> &misbehaviours()
{
    static const std::vector<Misbehaviour> All{
        {"bodyOneByteShort", CrowdSize, bodyOneByteShort},
        {"bodyInSmallPieces", CrowdSize, bodyInSmallPieces},
        {"trickledBody", CrowdSize, trickledBody},
        {"chunksOfOneByte", CrowdSize, chunksOfOneByte},
        {"chunksWithoutEnd", CrowdSize, chunksWithoutEnd},
        {"chunksOverTheLimit", CrowdSize, chunksOverTheLimit},
        {"lengthFarOverTheLimit", CrowdSize, lengthFarOverTheLimit},
        {"manyFields", CrowdSize, manyFields},
        {"pipelinedRequests", CrowdSize, pipelinedRequests},
        {"halfHead", CrowdSize, halfHead},
        {"connectionsOnly", ConnectionCrowdSize, connectionsOnly},
    };
    return All;
}

const Misbehaviour &misbehaviour(const std::string &name)
{
    return *std::ranges::find(misbehaviours(), name, &Misbehaviour::name);
}

CallerScript makeSingleRequest(const std::string &path)
{
    return {fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n\r\n", path),
        "", 0};
}

} // namespace Carawaykeel::Tests
