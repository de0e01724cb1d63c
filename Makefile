# vanillaloom: every source below src/ goes into one static library, every
# file of programs/ and tests/standin/ is a program of its own, and every
# tests/**/test_*.c is a CUnit program.  A new file needs no line here.

CC ?= gcc
BUILD ?= build
PKGS = talloc tevent libzmq libmicrohttpd libcurl argtable2 glib-2.0 \
    libsodium json-c msgpack gnutls zlib
CSTD = -std=gnu11
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -Wpointer-arith -Wwrite-strings -Wvla
OPT ?= -O2 -g
CPPFLAGS += -D_GNU_SOURCE -Iinclude -Isrc -Itests -I. $(shell pkg-config --cflags $(PKGS))
CFLAGS += $(CSTD) $(WARN) $(OPT) -pthread $(SAN)
LDFLAGS += -pthread $(SAN)
# http_parser has no file for pkg-config
LDLIBS += $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm

LIB_SRC := $(sort $(wildcard src/*/*.c))
PROG_SRC := $(sort $(wildcard programs/*.c))
# The users' platform: an adapter and the one program that it is linked into.
ADAPTER_PROG_SRC := platform/loomd-platform.c
ADAPTER_SRC := $(filter-out $(ADAPTER_PROG_SRC),$(sort $(wildcard platform/*.c)))
STANDIN_SRC := $(sort $(wildcard tests/standin/*.c))
SUPPORT_SRC := $(sort $(wildcard tests/support/*.c))
TEST_SRC := $(sort $(wildcard tests/*/test_*.c))
BENCH_SRC := $(sort $(wildcard bench/bench_*.c))
BENCH_LIB_SRC := $(filter-out $(BENCH_SRC),$(sort $(wildcard bench/*.c)))
ALL_SRC := $(LIB_SRC) $(ADAPTER_SRC) $(ADAPTER_PROG_SRC) $(PROG_SRC) $(STANDIN_SRC) $(SUPPORT_SRC) $(TEST_SRC) \
    $(BENCH_SRC) $(BENCH_LIB_SRC)
HEADERS := $(sort $(wildcard include/loom/*.h src/*/*.h tests/*/*.h bench/*.h platform/*.h))

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
LIB := $(BUILD)/libloom.a
ADAPTER_LIB := $(BUILD)/libloomplatform.a
SUPPORT_LIB := $(BUILD)/libloomtest.a
BENCH_LIB := $(BUILD)/libloombench.a
PROGRAMS := $(patsubst programs/%.c,$(BUILD)/bin/%,$(PROG_SRC)) \
    $(patsubst platform/%.c,$(BUILD)/bin/%,$(ADAPTER_PROG_SRC))
STANDINS := $(patsubst tests/standin/%.c,$(BUILD)/bin/%,$(STANDIN_SRC))
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(TEST_SRC))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SRC))

.PHONY: all check check-installed faults bench capacity demo demo-installed format \
    format-check lint clean deps sanitize sanitize-installed
all: $(PROGRAMS) $(STANDINS)

deps:
	@tools/install-deps

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	@ar rcs $@ $^

$(ADAPTER_LIB): $(call obj,$(ADAPTER_SRC))
	@rm -f $@
	@ar rcs $@ $^

$(SUPPORT_LIB): $(call obj,$(SUPPORT_SRC))
	@rm -f $@
	@ar rcs $@ $^

$(BENCH_LIB): $(call obj,$(BENCH_LIB_SRC))
	@mkdir -p $(@D)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/bin/%: $(BUILD)/obj/programs/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) -o $@ $< $(LIB) $(LDLIBS)

$(BUILD)/bin/%: $(BUILD)/obj/platform/%.o $(ADAPTER_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) -o $@ $< $(ADAPTER_LIB) $(LIB) $(LDLIBS)

$(BUILD)/bin/%: $(BUILD)/obj/tests/standin/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) -o $@ $< $(LIB) $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/obj/tests/%.o $(SUPPORT_LIB) $(ADAPTER_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) -o $@ $< $(SUPPORT_LIB) $(ADAPTER_LIB) $(LIB) -lcunit \
	    $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(BENCH_LIB) $(SUPPORT_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LDFLAGS) -o $@ $< $(BENCH_LIB) $(SUPPORT_LIB) $(LIB) -lcunit \
	    $(LDLIBS)

# These two install what they lack.  That has to be over before anything is
# compiled, also with -j, so a second make does the rest.
check demo: deps
	@$(MAKE) --no-print-directory $@-installed

check-installed: all $(TESTS)
	tools/check-known-red $(BUILD)
	tools/run-tests $(BUILD) $(filter-out $(BUILD)/tests/faults/%,$(TESTS))

faults: all $(TESTS)
	tools/run-tests $(BUILD) $(filter $(BUILD)/tests/faults/%,$(TESTS))

capacity: all $(BUILD)/bench/bench_capacity
	$(BUILD)/bench/bench_capacity

bench: all $(BENCHES)
	tools/run-bench $(BUILD) $(filter-out %/bench_capacity,$(BENCHES))

demo-installed: all
	tools/demo $(BUILD)

# The quick part of the tests with the address and undefined-behaviour
# sanitizers; for others: make BUILD=build/san SAN="..." build/san/tests/...
SANITIZE := -fsanitize=address,undefined -fno-sanitize-recover=all \
    -fno-omit-frame-pointer
SANITIZED := base daemon http inner manifest platform trace

sanitize: deps
	@$(MAKE) --no-print-directory BUILD=$(BUILD)/san OPT="-O1 -g" \
	    SAN="$(SANITIZE)" sanitize-installed

sanitize-installed: all $(TESTS)
	tools/run-tests $(BUILD) \
	    $(filter $(addprefix $(BUILD)/tests/,$(addsuffix /%,$(SANITIZED))),$(TESTS))

format:
	@clang-format -i $(ALL_SRC) $(HEADERS)

format-check:
	@clang-format --dry-run -Werror $(ALL_SRC) $(HEADERS)

lint:
	@tools/lint "$(CPPFLAGS)" $(ALL_SRC)

clean:
	rm -rf $(BUILD)

.SECONDARY:
-include $(patsubst %.c,$(BUILD)/obj/%.d,$(ALL_SRC))
