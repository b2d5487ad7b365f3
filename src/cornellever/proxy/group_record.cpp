#include "cornellever/proxy/group_record.hpp"

namespace cornellever::proxy {

namespace {

constexpr std::string_view promoting_name = "promoting";
constexpr std::string_view settled_name = "settled";

} // namespace

std::string group_record_key(std::string_view database) {
    return "group/" + std::string{database};
}

Json::Value to_json(const group_record& record) {
    Json::Value out;
    out["term"] = static_cast<Json::UInt64>(record.term);
    out["phase"] = std::string{record.phase == group_phase::promoting ? promoting_name : settled_name};
    out["primary"] = record.primary;
    out["holder"] = record.holder;
    out["claim"] = record.claim;
    return out;
}

result<group_record> group_record_from_json(const Json::Value& value) {
    if (!value.isObject() || !value["term"].isUInt64()) {
        return fail(errc::bad_request, "group record: term must be a whole number");
    }
    for (const auto* field : {"phase", "primary", "holder", "claim"}) {
        if (!value[field].isString()) {
            return fail(errc::bad_request, std::string{"group record: "} + field + " must be a string");
        }
    }
    const auto phase = value["phase"].asString() == promoting_name ? group_phase::promoting : group_phase::settled;
    return group_record{value["term"].asUInt64(), phase, value["primary"].asString(), value["holder"].asString(),
                        value["claim"].asString()};
}

} // namespace cornellever::proxy
