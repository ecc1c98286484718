// Fields, ranges and cross-field checks of the settings file.
#include "daemon/settings.h"

#include "adapters/http_server/listen_address.h"
#include "daemon/section_reader.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace balsamwheel::daemon {

namespace {

/// Upper limit of all durations, in milliseconds: one hour.
constexpr std::int64_t MaxMs = 3'600'000;
/// Upper limit of most counts.
constexpr std::int64_t MaxCount = 1'000'000;

std::string checkAddress(const std::string &Text) {
  return http_server::parseListenAddress(Text)
             ? std::string()
             : "must be an IPv4 address and a port, such as 127.0.0.1:7000";
}

constexpr std::string_view UrlScheme = "http://";

std::string checkUrl(const std::string &Text) {
  return Text.starts_with(UrlScheme) &&
                 checkAddress(Text.substr(UrlScheme.size())).empty()
             ? std::string()
             : "must be a URL such as http://127.0.0.1:7000";
}

void readPlatform(SectionReader &Reader, Settings &Output) {
  std::string Url(UrlScheme);
  Reader.text("platform", Url, true, checkUrl);
  Output.m_PlatformAddress = Url.substr(UrlScheme.size());
}

void readLog(SectionReader &Reader, Settings &Output) {
  using Levels = std::vector<std::pair<std::string, std::string>>;
  Reader.choice("level", Output.m_LogLevel,
                Levels{{"debug", "debug"},
                       {"info", "info"},
                       {"warn", "warn"},
                       {"error", "error"}});
  using Formats = std::vector<std::pair<std::string, LogFormat>>;
  Reader.text("file", Output.m_LogFile);
  Reader.choice("format", Output.m_LogFormat,
                Formats{{"text", LogFormat::Text}, {"json", LogFormat::Json}});
}

void readLimits(SectionReader &Reader, Settings &Output) {
  Reader.milliseconds("platform_timeout_ms", Output.m_PlatformTimeout, 10,
                      MaxMs);
  Reader.integer("caller_connections", Output.m_CallerConnections, 1, 60'000);
  Reader.integer("peer_connections", Output.m_PeerConnections, 1, 60'000);
  Reader.milliseconds("target_silence_ms", Output.m_TargetSilence, 100, MaxMs);
  Reader.milliseconds("shutdown_ms", Output.m_ShutdownLimit, 100, MaxMs);
  Reader.milliseconds("outcome_memory_ms", Output.m_Node.m_OutcomeMemory, 1000,
                      MaxMs);
  Reader.integer("outcomes", Output.m_Node.m_OutcomeLimit, 1, 10 * MaxCount);
  Reader.milliseconds("receipt_timeout_ms", Output.m_Node.m_ReceiptTimeout, 1,
                      MaxMs);
}

void readCoordination(SectionReader &Reader, CoordinatorOptions &Output) {
  CoordinationTiming &Timing = Output.m_Timing;
  Reader.milliseconds("heartbeat_ms", Timing.m_HeartbeatPeriod, 10, MaxMs);
  Reader.milliseconds("lease_ms", Timing.m_Lease, 50, MaxMs);
  Reader.milliseconds("lease_margin_ms", Timing.m_LeaseMargin, 1, MaxMs);
  Reader.milliseconds("order_margin_ms", Timing.m_OrderMargin, 1, MaxMs);
  Reader.milliseconds("ack_timeout_ms", Timing.m_AckTimeout, 1, MaxMs);
  Reader.milliseconds("head_poll_ms", Timing.m_HeadPollPeriod, 10, MaxMs);
  Reader.milliseconds("domain_out_grace_ms", Timing.m_DomainOutGrace, 0, MaxMs);
  Reader.integer("group_size", Output.m_GroupSize, 1, 64);
}

void readAdmission(SectionReader &Reader, AdmissionOptions &Output) {
  Reader.integer("reserved_urgent", Output.m_ReservedUrgent, 0, MaxCount);
  Reader.integer("reserved_interactive", Output.m_ReservedInteractive, 0,
                 MaxCount);
  Reader.integer("cold_slots", Output.m_ColdSlots, 1, MaxCount);
}

void readPolicy(SectionReader &Reader, NodeOptions &Output) {
  using Modes = std::vector<std::pair<std::string, HandoverMode>>;
  Reader.choice("handover", Output.m_Coordinator.m_Handover,
                Modes{{"switch-then-resolve", HandoverMode::SwitchThenResolve},
                      {"drain-then-switch", HandoverMode::DrainThenSwitch}});
  Reader.flag("witnesses", Output.m_Coordinator.m_UseWitnesses);
  using Gates = std::vector<std::pair<std::string, bool>>;
  Reader.choice("gate", Output.m_Admission.m_Adaptive,
                Gates{{"adaptive", true}, {"fixed", false}});
  using Policies = std::vector<std::pair<std::string, PickPolicy>>;
  Reader.choice("picker", Output.m_Picker.m_Policy,
                Policies{{"two-choices", PickPolicy::TwoChoices},
                         {"least-loaded", PickPolicy::LeastLoaded},
                         {"round-robin", PickPolicy::RoundRobin},
                         {"random", PickPolicy::Random}});
  Reader.flag("hedge", Output.m_Picker.m_Hedge);
  Reader.real("hedge_budget", Output.m_Picker.m_HedgeBudget, 0, 1);
}

void readRetry(SectionReader &Reader, RetryBudgetOptions &Output) {
  Reader.real("ratio", Output.m_Ratio, 0, 1);
  Reader.real("burst", Output.m_Burst, 0, static_cast<double>(MaxCount));
  Reader.milliseconds("base_delay_ms", Output.m_BaseDelay, 1, MaxMs);
  Reader.milliseconds("max_delay_ms", Output.m_MaxDelay, 1, MaxMs);
}

/// Reads a name into its strong type.
template <typename Name>
void readName(SectionReader &Reader, const char *Field, Name &Target) {
  std::string Text;
  Reader.text(Field, Text, true);
  Target = Name(Text);
}

Settings readAll(SectionReader &Reader) {
  Settings Output;
  readName(Reader, "instance", Output.m_Instance);
  readName(Reader, "domain", Output.m_Domain);
  readName(Reader, "region", Output.m_Region);
  Reader.text("peer_address", Output.m_PeerListen, true, checkAddress);
  Output.m_PeerAdvertised = Output.m_PeerListen;
  Reader.text("peer_advertised", Output.m_PeerAdvertised, false, checkAddress);
  Reader.text("caller_address", Output.m_CallerListen, true, checkAddress);
  Reader.text("target_address", Output.m_TargetListen, true, checkAddress);
  Reader.text("admin_address", Output.m_AdminListen, true, checkAddress);
  readPlatform(Reader, Output);
  Reader.section("log",
                 [&](SectionReader &Section) { readLog(Section, Output); });
  Reader.section("limits",
                 [&](SectionReader &Section) { readLimits(Section, Output); });
  NodeOptions &Node = Output.m_Node;
  Reader.section("coordination", [&](SectionReader &Section) {
    readCoordination(Section, Node.m_Coordinator);
  });
  Reader.section("admission", [&](SectionReader &Section) {
    readAdmission(Section, Node.m_Admission);
  });
  Reader.section("policy",
                 [&](SectionReader &Section) { readPolicy(Section, Node); });
  Reader.section("retry", [&](SectionReader &Section) {
    readRetry(Section, Node.m_Retry);
  });
  Reader.finish();
  Node.m_Coordinator.m_Instance = Output.m_Instance;
  Node.m_Coordinator.m_Domain = Output.m_Domain;
  Node.m_Coordinator.m_Region = Output.m_Region;
  Node.m_Coordinator.m_Peer = PeerAddress(Output.m_PeerAdvertised);
  Node.m_Coordinator.m_CallerAddress = Output.m_CallerListen;
  Node.m_Coordinator.m_AdminAddress = Output.m_AdminListen;
  return Output;
}

/// Checks conditions that involve several fields.
void checkFieldRelations(const Settings &Given, ReadContext &Context) {
  const CoordinationTiming &Timing = Given.m_Node.m_Coordinator.m_Timing;
  const auto AddError = [&Context](const char *Field, const char *Reason) {
    Context.m_Errors.push_back({.m_File = Context.m_File,
                                .m_Line = 1,
                                .m_Field = Field,
                                .m_Reason = Reason});
  };
  if (Timing.m_Lease < 2 * Timing.m_HeartbeatPeriod)
    AddError("coordination.lease_ms",
             "must be at least twice coordination.heartbeat_ms");
  if (Timing.m_OrderMargin >= Timing.m_Lease)
    AddError("coordination.order_margin_ms",
             "must be less than coordination.lease_ms");
}

} // namespace

std::string toString(const SettingsError &Error) {
  return Error.m_File + ":" + std::to_string(Error.m_Line) + ": " +
         (Error.m_Field.empty() ? "" : Error.m_Field + ": ") + Error.m_Reason;
}

std::variant<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text, const std::string &File) {
  ReadContext Context{.m_File = File, .m_Errors = {}};
  try {
    SectionReader Reader(Context, YAML::Load(Text), "");
    Settings Result = readAll(Reader);
    checkFieldRelations(Result, Context);
    if (Context.m_Errors.empty())
      return Result;
  } catch (const YAML::Exception &Error) {
    Context.m_Errors.push_back({.m_File = File,
                                .m_Line = Error.mark.line + 1,
                                .m_Field = {},
                                .m_Reason = Error.msg});
  }
  return std::move(Context.m_Errors);
}

std::variant<Settings, std::vector<SettingsError>>
loadSettings(const std::string &File) {
  std::ifstream Stream(File);
  std::stringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    return std::vector<SettingsError>{{.m_File = File,
                                       .m_Line = 0,
                                       .m_Field = {},
                                       .m_Reason = "cannot be read"}};
  return parseSettings(Text.str(), File);
}

} // namespace balsamwheel::daemon
