#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Address and port a process listens on or connects to.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  std::string Text() const { return m_address + ":" + std::to_string(m_port); }
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// \brief Parses "IP:PORT"; nothing when the text has another form.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// \brief One INI file; each Get names the key and what is expected of it.
///
/// The first error is kept. Finish() also reports a key that no call has
/// asked for. Every message is one line with file, key and expectation.
class Settings {
 public:
  /// \brief Reads a file; kSettingsFileMissing or kSettingsSyntax on failure.
  static absl::StatusOr<Settings> Load(const std::string& path);

  /// \brief Reads settings from a text; `name` stands for the file's path.
  static absl::StatusOr<Settings> Parse(std::string name,
                                        const std::string& text);

  /// \brief Treats keys without a value as absent, as a template leaves them
  /// where it has nothing to fill in.
  void DropEmpty();

  std::string GetText(std::string_view key);
  std::string GetText(std::string_view key, std::string_view fallback);
  std::int64_t GetInt(std::string_view key, std::int64_t fallback,
                      std::int64_t min, std::int64_t max);
  double GetDouble(std::string_view key, double fallback, double min,
                   double max);
  bool GetBool(std::string_view key, bool fallback);
  /// \brief Milliseconds in the file.
  Duration GetMilliseconds(std::string_view key, Duration fallback,
                           Duration min, Duration max);
  Endpoint GetEndpoint(std::string_view key);
  std::optional<Endpoint> GetOptionalEndpoint(std::string_view key);
  /// \brief Comma-separated "IP:PORT" items; empty when the key is absent.
  std::vector<Endpoint> GetEndpoints(std::string_view key);
  /// \brief Comma-separated items without surrounding blanks.
  std::vector<std::string> GetList(std::string_view key);
  /// \brief Makes a value whose form the caller checked an error.
  void Reject(std::string_view key, std::string_view expected);
  /// \brief Keys of one section, in the order of the file, marked as known.
  std::vector<std::string> Section(std::string_view section);
  /// \brief Names of all sections, in the order of the file.
  std::vector<std::string> Sections() const;

  /// \brief First error, or kSettingsUnknownKey for a key nobody asked for.
  absl::Status Finish();

 private:
  Settings() = default;
  const std::string* Find(std::string_view key);
  void Fail(Code code, std::string_view key, std::string_view expected);

  std::string m_file;
  std::vector<std::string> m_order;
  std::map<std::string, std::string, std::less<>> m_values;
  std::set<std::string, std::less<>> m_asked;
  absl::Status m_status;
};

}  // namespace filbertspar
