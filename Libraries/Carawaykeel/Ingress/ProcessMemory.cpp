#include <Carawaykeel/Ingress/ProcessMemory.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fcntl.h>
#include <malloc.h>
#include <string_view>
#include <unistd.h>

namespace Carawaykeel::Ingress {

namespace {

/// Blocks of this size and more are mapped one by one and unmapped when they are freed. The
/// allocator would otherwise raise the threshold up to 32 MB and keep freed bodies in its heap.
constexpr int MappedBlockBytes = 65'536;
/// Free bytes at the end of the heap that are kept.
constexpr int KeptHeapBytes = 262'144;
/// One heap for all threads: freed memory of one thread would be of no use to the others.
constexpr int Arenas = 1;

} // namespace

ProcessMemory::ProcessMemory()
    : m_descriptor(open("/proc/self/statm", O_RDONLY | O_CLOEXEC))
{
}

ProcessMemory::~ProcessMemory()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

void ProcessMemory::configureAllocator()
{
#if defined(__GLIBC__)
    mallopt(M_ARENA_MAX, Arenas);
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
#endif
}

std::size_t ProcessMemory::bytes()
{
    std::array<char, 128> buf{};
    const auto n = m_descriptor < 0 ? -1 : pread(m_descriptor, buf.data(), buf.size(), 0);
    if (n <= 0)
        return 0;
    std::string_view text(buf.data(), static_cast<std::size_t>(n));
    // The second figure counts the resident pages.
    text.remove_prefix(std::min(text.find(' ') + 1, text.size()));
    std::size_t pages = 0;
    std::from_chars(text.data(), text.data() + text.size(), pages);
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void ProcessMemory::releaseFree()
{
#if defined(__GLIBC__)
    malloc_trim(0);
#endif
}

} // namespace Carawaykeel::Ingress
