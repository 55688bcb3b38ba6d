# Builds the pollenhitch binary, the stand-ins and the tests.
# Targets: all, deps, check, demo, bench, soak, format, format-check, lint, boundaries, sanitize, xdr,
# clean. Variables: BUILD, the build folder; OPT, HARDEN and SANITIZE, compiler flags.

CC ?= gcc
BUILD ?= build
PKGS = libmicrohttpd libcurl glib-2.0 libtirpc jansson libxxhash zlib

CSTD = -std=gnu11
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
OPT ?= -O2 -g
HARDEN ?= -D_FORTIFY_SOURCE=2 -fstack-protector-strong -fPIE
CFLAGS += $(CSTD) $(WARN) $(OPT) $(HARDEN) $(SANITIZE)
CPPFLAGS += -D_GNU_SOURCE -Iinclude -Isource -Iplatform -MMD -MP $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LDFLAGS += -pie -Wl,-z,relro,-z,now $(SANITIZE)
LDLIBS += $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lev -lhttp_parser -llog4c -lm

CORE = $(wildcard source/core/*.c)
PRODUCT = $(CORE) $(wildcard source/wire/*.c source/node/*.c source/client/*.c platform/*.c)
TESTS = $(wildcard tests/*.c)
STANDINS = $(patsubst tests/standins/%.c,%,$(wildcard tests/standins/*.c))
BENCHES = $(patsubst tests/bench/%.c,%,$(wildcard tests/bench/*.c))
FUZZERS = $(patsubst tests/fuzz/%.c,%,$(wildcard tests/fuzz/*.c))

object = $(patsubst %.c,$(BUILD)/%.o,$(1))
BINARY = $(BUILD)/pollenhitch
LIBRARY = $(BUILD)/libpollenhitch.a

FORMATTED = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '^source/wire/control_xdr')
LINTED = $(filter %.c,$(FORMATTED))

.PHONY: all deps check demo bench soak format format-check lint sanitize boundaries xdr clean

all: $(BINARY) $(addprefix $(BUILD)/standin-,$(STANDINS)) $(BUILD)/unit-tests \
  $(addprefix $(BUILD)/fuzz-,$(FUZZERS))

deps:
	@scripts/install-deps

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

# The code that rpcgen generates does not compile with the warning flags.
$(BUILD)/source/wire/control_xdr.o: WARN = -w

$(LIBRARY): $(call object,$(PRODUCT))
	@rm -f $@
	$(AR) rcs $@ $^

$(BINARY): $(BUILD)/source/main.o $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/standin-%: $(BUILD)/tests/standins/%.o
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lpthread -o $@

$(BUILD)/bench-%: $(BUILD)/tests/bench/%.o $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/fuzz-%: $(BUILD)/tests/fuzz/%.o $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/unit-tests: $(call object,$(TESTS)) $(LIBRARY)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@

check: deps
	@scripts/check

demo: deps
	@$(MAKE) --no-print-directory -j8 all
	@scripts/demo-platform
	@scripts/demo

bench: deps
	@$(MAKE) --no-print-directory -j8 all $(addprefix $(BUILD)/bench-,$(BENCHES))
	@scripts/bench

# Random faults in real processes, about 20 s for each seed, on both paths: make soak SEEDS=50
soak: deps
	@$(MAKE) --no-print-directory -j8 all
	@tests/soak/soak.sh $(BUILD)
	@tests/soak/platform.sh $(BUILD)

# The generated codec is committed. This target generates it again and needs rpcgen.
xdr:
	cd source/wire && rpcgen -h control.x >control_xdr.h && rpcgen -c control.x >control_xdr.c
	sed -i 's/#include "control.h"/#include "wire\/control_xdr.h"/' source/wire/control_xdr.c

format:
	@clang-format -i $(FORMATTED)

format-check:
	@clang-format --dry-run -Werror $(FORMATTED)

# One clang-tidy process for each file, so that several cores are used.
lint:
	@printf '%s\n' $(LINTED) | xargs -P 8 -n 1 scripts/lint $(filter-out -MMD -MP,$(CPPFLAGS)) --

# The core, which takes the decisions, may not include headers of a codec, an event loop or HTTP.
boundaries:
	@! grep -nE '#include *[<"](ev|microhttpd|curl/|rpc/|jansson|log4c|sys/socket|netinet)' source/core/*.c
	@! grep -nE '#include *"(wire|node|client)/' source/core/*.c

# Builds everything with sanitizers in build/sanitize. To run the tests there:
# SANITIZED=1 BUILD=build/sanitize scripts/check
sanitize:
	@$(MAKE) --no-print-directory -j8 BUILD=build/sanitize HARDEN= OPT='-O1 -g' \
	  SANITIZE='-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer' all

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
