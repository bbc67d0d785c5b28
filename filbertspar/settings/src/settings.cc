#include "filbertspar/settings/src/settings.h"

#include <cstddef>
#include <fstream>
#include <istream>
#include <sstream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boost/asio/ip/address.hpp"
#include "boost/property_tree/ini_parser.hpp"
#include "boost/property_tree/ptree.hpp"

namespace filbertspar {
namespace {

namespace pt = boost::property_tree;

constexpr std::string_view kNoSuchKey = "no such key";

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.m_address = std::string(text.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.m_address, error);
  std::uint32_t port = 0;
  if (error || !absl::SimpleAtoi(View(text.substr(colon + 1)), &port) ||
      port > 65535) {
    return std::nullopt;
  }
  endpoint.m_port = static_cast<std::uint16_t>(port);
  return endpoint;
}

absl::StatusOr<Settings> Settings::Load(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error(Code::kSettingsFileMissing,
                 path + ": expected a readable settings file");
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(path, text.str());
}

absl::StatusOr<Settings> Settings::Parse(std::string name,
                                         const std::string& text) {
  Settings settings;
  settings.m_file = std::move(name);
  pt::ptree tree;
  try {
    std::istringstream stream(text);
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return Error(Code::kSettingsSyntax,
                 absl::StrCat(settings.m_file, ": line ", error.line(),
                              ": expected INI: ", error.message()));
  }
  for (const auto& [section, keys] : tree) {
    if (keys.empty()) {
      settings.m_order.push_back(section);
      settings.m_values[section] = keys.data();
      continue;
    }
    for (const auto& [key, value] : keys) {
      const std::string full = absl::StrCat(section, ".", key);
      settings.m_order.push_back(full);
      settings.m_values[full] = value.data();
    }
  }
  return settings;
}

void Settings::DropEmpty() {
  std::erase_if(m_values, [](const auto& item) { return item.second.empty(); });
  std::erase_if(m_order, [this](const std::string& key) {
    return !m_values.contains(key);
  });
}

const std::string* Settings::Find(std::string_view key) {
  m_asked.insert(std::string(key));
  const auto found = m_values.find(key);
  return found == m_values.end() ? nullptr : &found->second;
}

void Settings::Fail(Code code, std::string_view key,
                    std::string_view expected) {
  if (m_status.ok()) {
    m_status =
        Error(code, absl::StrCat(m_file, ": ", std::string(key), ": ",
                                 expected == kNoSuchKey ? "" : "expected ",
                                 std::string(expected)));
  }
}

std::string Settings::GetText(std::string_view key) {
  const std::string* value = Find(key);
  if (value == nullptr || value->empty()) {
    Fail(Code::kSettingsKeyMissing, key, "a value");
    return "";
  }
  return *value;
}

std::string Settings::GetText(std::string_view key, std::string_view fallback) {
  const std::string* value = Find(key);
  return value == nullptr ? std::string(fallback) : *value;
}

std::int64_t Settings::GetInt(std::string_view key, std::int64_t fallback,
                              std::int64_t min, std::int64_t max) {
  const std::string* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(*value, &number) || number < min || number > max) {
    Fail(Code::kSettingsBadValue, key,
         absl::StrCat("an integer from ", min, " to ", max));
    return fallback;
  }
  return number;
}

double Settings::GetDouble(std::string_view key, double fallback, double min,
                           double max) {
  const std::string* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  double number = 0;
  if (!absl::SimpleAtod(*value, &number) || !(number >= min && number <= max)) {
    Fail(Code::kSettingsBadValue, key,
         absl::StrCat("a number from ", min, " to ", max));
    return fallback;
  }
  return number;
}

bool Settings::GetBool(std::string_view key, bool fallback) {
  const std::string* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (*value != "true" && *value != "false") {
    Fail(Code::kSettingsBadValue, key, "true or false");
    return fallback;
  }
  return *value == "true";
}

Duration Settings::GetMilliseconds(std::string_view key, Duration fallback,
                                   Duration min, Duration max) {
  const double milliseconds =
      GetDouble(key, static_cast<double>(ToMilliseconds(fallback)),
                static_cast<double>(ToMilliseconds(min)),
                static_cast<double>(ToMilliseconds(max)));
  return Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

Endpoint Settings::GetEndpoint(std::string_view key) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(GetText(key));
  if (!endpoint) {
    Fail(Code::kSettingsBadValue, key, "IP:PORT");
    return {};
  }
  return *endpoint;
}

std::optional<Endpoint> Settings::GetOptionalEndpoint(std::string_view key) {
  if (Find(key) == nullptr) {
    return std::nullopt;
  }
  return GetEndpoint(key);
}

std::vector<std::string> Settings::GetList(std::string_view key) {
  std::vector<std::string> items;
  const std::string* value = Find(key);
  if (value == nullptr || value->empty()) {
    return items;
  }
  for (absl::string_view item : absl::StrSplit(*value, ',')) {
    items.emplace_back(absl::StripAsciiWhitespace(item));
  }
  return items;
}

void Settings::Reject(std::string_view key, std::string_view expected) {
  Fail(Code::kSettingsBadValue, key, expected);
}

std::vector<Endpoint> Settings::GetEndpoints(std::string_view key) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : GetList(key)) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint) {
      Reject(key, "IP:PORT, IP:PORT, ...");
      return {};
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::vector<std::string> Settings::Section(std::string_view section) {
  std::vector<std::string> keys;
  const std::string prefix = std::string(section) + ".";
  for (const std::string& key : m_order) {
    if (key.starts_with(prefix)) {
      keys.push_back(key.substr(prefix.size()));
      m_asked.insert(key);
    }
  }
  return keys;
}

std::vector<std::string> Settings::Sections() const {
  std::vector<std::string> names;
  for (const std::string& key : m_order) {
    const std::string name = key.substr(0, key.find('.'));
    if (names.empty() || names.back() != name) {
      names.push_back(name);
    }
  }
  return names;
}

absl::Status Settings::Finish() {
  for (const std::string& key : m_order) {
    if (m_status.ok() && !m_asked.contains(key)) {
      Fail(Code::kSettingsUnknownKey, key, kNoSuchKey);
    }
  }
  return m_status;
}

}  // namespace filbertspar
