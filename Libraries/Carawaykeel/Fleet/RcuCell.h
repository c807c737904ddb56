#pragma once

#include <memory>
#include <urcu-bp.h>
#include <utility>

namespace Carawaykeel::Fleet {

/// Holds one immutable value that many threads read without a lock and one thread replaces. The
/// "bulletproof" flavour of liburcu registers reading threads by itself, as the HTTP library's
/// thread pool makes them.
template <typename T>
class RcuCell
{
public:
    explicit RcuCell(std::unique_ptr<T> first)
        : m_value(first.release())
    {
    }
    ~RcuCell() { delete m_value; }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /// Calls the function with the present value and answers what it answers. The function must not
    /// wait, and must not keep references to the value.
    template <typename Function>
    auto read(Function &&function) const
    {
        const ReadLock lock;
        const T &value = *rcu_dereference(m_value);
        return std::forward<Function>(function)(value);
    }

    /// Puts a new value in and frees the old one once no thread reads it any more. Only one thread
    /// may publish.
    void publish(std::unique_ptr<T> next)
    {
        T *old = m_value;
        rcu_assign_pointer(m_value, next.release());
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    struct ReadLock
    {
        ReadLock() { urcu_bp_read_lock(); }
        ~ReadLock() { urcu_bp_read_unlock(); }
        ReadLock(const ReadLock &) = delete;
        ReadLock &operator=(const ReadLock &) = delete;
    };

    T *m_value;
};

} // namespace Carawaykeel::Fleet
