#pragma once

#include <memory>
#include <urcu-bp.h>
#include <utility>

namespace Carawaykeel::Fleet {

/// Holds one immutable value that many threads read without a lock and one thread replaces. Uses
/// the "bulletproof" flavour of liburcu, which registers reader threads automatically, because the
/// threads are created by the HTTP library's thread pool.
template <typename T>
class RcuCell
{
public:
    explicit RcuCell(std::unique_ptr<T> initialValue)
        : m_value(initialValue.release())
    {
    }
    ~RcuCell() { delete m_value; }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /// Calls the function with the current value and returns its result. The function must not
    /// block and must not keep references to the value.
    template <typename Function>
    auto read(Function &&function) const
    {
        const ReadLock lock;
        const T &value = *rcu_dereference(m_value);
        return std::forward<Function>(function)(value);
    }

    /// Replaces the value and frees the old one when no thread reads it any more. Blocks until
    /// then. Only one thread may publish.
    void publish(std::unique_ptr<T> newValue)
    {
        T *oldValue = m_value;
        rcu_assign_pointer(m_value, newValue.release());
        urcu_bp_synchronize_rcu();
        delete oldValue;
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
