#ifndef BRIARLEAD_CORE_IDENTIFIERS_H_
#define BRIARLEAD_CORE_IDENTIFIERS_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace briarlead {

/// A string identifier whose kind is part of its type, so that identifiers of
/// different kinds can't be assigned or compared to each other by mistake.
/// `Tag` is a type that is never defined and only distinguishes the kinds.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : value_(std::move(value)) {}

  /// Returns the identifier as text.
  [[nodiscard]] const std::string& value() const { return value_; }

  /// Returns true for a default-constructed identifier, which refers to
  /// nothing.
  [[nodiscard]] bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Identifier&, const Identifier&) = default;

 private:
  std::string value_;
};

/// An entry or control host of briarlead.
using HostId = Identifier<struct HostTag>;
/// A data centre.
using DataCentreId = Identifier<struct DataCentreTag>;
/// A client account.
using CustomerId = Identifier<struct CustomerTag>;
/// A plan that customers are assigned to.
using PlanId = Identifier<struct PlanTag>;
/// A backend server: a model engine, or a server that runs a plain service.
using BackendServerId = Identifier<struct BackendServerTag>;
/// A model that engines serve.
using ModelId = Identifier<struct ModelTag>;
/// A plain service.
using ServiceId = Identifier<struct ServiceTag>;
/// The version of a backend server's software, without an order. Empty if the
/// server names none.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

}  // namespace briarlead

template <typename Tag>
struct std::hash<briarlead::Identifier<Tag>> {
  std::size_t operator()(const briarlead::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string_view>()(id.value());
  }
};

#endif  // BRIARLEAD_CORE_IDENTIFIERS_H_
