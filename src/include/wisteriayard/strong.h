#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace wisteriayard {

/// String with a tag type; strings with different tags do not convert into each other.
template <typename Tag> class StrongString {
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongString&, const StrongString&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongString& id) { return out << id.m_value; }

private:
    std::string m_value;
};

/// Number with a tag type for its unit; numbers with different tags do not convert into each other.
template <typename Tag, typename Rep> class StrongNumber {
public:
    using rep = Rep;

    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value)
        : m_value(value)
    {
    }

    constexpr Rep value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.m_value + b.m_value);
    }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b)
    {
        return StrongNumber(a.m_value - b.m_value);
    }
    StrongNumber& operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    StrongNumber& operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend std::ostream& operator<<(std::ostream& out, StrongNumber number) { return out << number.m_value; }

private:
    Rep m_value {};
};

} // namespace wisteriayard

template <typename Tag> struct std::hash<wisteriayard::StrongString<Tag>> {
    size_t operator()(const wisteriayard::StrongString<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};

template <typename Tag, typename Rep> struct std::hash<wisteriayard::StrongNumber<Tag, Rep>> {
    size_t operator()(const wisteriayard::StrongNumber<Tag, Rep>& number) const noexcept
    {
        return std::hash<Rep> {}(number.value());
    }
};
