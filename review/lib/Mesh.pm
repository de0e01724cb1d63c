# A small deployment of loomd-platform on loopback addresses, for the cases in
# review/: one event loop with a stand-in for the platform's store, stand-ins
# for targets, and clients.  Daemons are real processes, started by the command
# and the settings template of deploy/system.toml.
package Mesh;

use strict;
use warnings;
use Errno qw(EAGAIN EINPROGRESS EWOULDBLOCK);
use File::Temp qw(tempdir);
use IO::Poll qw(POLLIN POLLOUT POLLERR POLLHUP);
use IO::Socket::INET;
use JSON::PP;
use MIME::Base64 qw(encode_base64);
use POSIX qw(WNOHANG);
use Socket qw(SOL_SOCKET SO_REUSEADDR pack_sockaddr_in inet_aton);
use Time::HiRes qw(clock_gettime CLOCK_MONOTONIC);

$SIG{PIPE} = 'IGNORE';
# An end by a signal or an error still ends the daemons (DESTROY).
$SIG{$_} = sub { exit 2 } for qw(TERM INT HUP);
END { $? = 2 if $? > 2 }

my $json = JSON::PP->new->canonical->allow_nonref;

# The bounds of the site file that the cases name.
our %BOUNDS = (
	config_apply_s => 2, drain_s => 2, grace_s => 6, reuse_after_s => 2,
	stability_s => 3, loss_slack_s => 0.2,
);
my $HEALTH = '/health';

sub new {
	my ($class, %o) = @_;
	my $self = bless {
		case => $o{case}, poll => IO::Poll->new, handlers => {},
		timers => [], daemons => {}, targets => {}, items => {},
		revision => 100, watches => [], next_host => 1, waiting => 0,
		start => clock_gettime(CLOCK_MONOTONIC), kept => [],
		dir => tempdir('loom-review-XXXXXX', TMPDIR => 1, CLEANUP => 1),
		owner => $$,
	}, $class;
	# Tenths of /8: runs beside each other do not share addresses.
	$self->{net} = sprintf '127.%d.%d', 64 + int rand 190, 1 + int rand 250;
	open $self->{record}, '>', "$o{case}/record.txt" or die "record: $!";
	$self->{record}->autoflush(1);
	$self->choose_ports;
	$self->start_store;
	return $self;
}

sub now { my ($self) = @_; return clock_gettime(CLOCK_MONOTONIC) - $self->{start} }

sub note {
	my ($self, $format, @args) = @_;
	my $line = sprintf "%8.3f  $format\n", $self->now, @args;
	print { $self->{record} } $line;
	print $line if $ENV{VERBOSE};
}

sub unrun { my ($self, $why) = @_; $self->note('could not run: %s', $why); $self->stop; exit 2 }

# --- The event loop.

sub watch {
	my ($self, $sock, $events, $handler) = @_;
	$self->{handlers}{ fileno $sock } = [$sock, $handler];
	$self->{poll}->mask($sock => $events);
}

sub unwatch {
	my ($self, $sock) = @_;
	return unless defined $sock && defined fileno $sock;
	$self->{poll}->remove($sock);
	delete $self->{handlers}{ fileno $sock };
}

sub after {
	my ($self, $s, $what) = @_;
	push @{ $self->{timers} }, [$self->now + $s, $what];
	@{ $self->{timers} } = sort { $a->[0] <=> $b->[0] } @{ $self->{timers} };
}

sub turn {
	my ($self) = @_;
	my $wait = 0.05;
	if (my $first = $self->{timers}[0]) {
		$wait = $first->[0] - $self->now;
		$wait = 0 if $wait < 0;
		$wait = 0.05 if $wait > 0.05;
	}
	$self->{poll}->poll($wait);
	for my $entry (values %{ $self->{handlers} }) {
		my ($sock, $handler) = @$entry;
		next unless defined fileno $sock;
		my $events = $self->{poll}->events($sock);
		$handler->($events) if $events;
	}
	while (@{ $self->{timers} } && $self->{timers}[0][0] <= $self->now) {
		my $timer = shift @{ $self->{timers} };
		$timer->[1]->();
	}
}

# Turn until the condition holds; false when it does not within the time.
sub until {
	my ($self, $s, $condition) = @_;
	my $end = $self->now + $s;
	while (!$condition->()) {
		return 0 if $self->now >= $end;
		$self->turn;
	}
	return 1;
}

sub rest { my ($self, $s) = @_; $self->until($s, sub { 0 }) }

# --- Connections, buffered both ways.

sub conn {
	my ($self, $sock, %on) = @_;
	$sock->blocking(0);
	my $c = { sock => $sock, in => '', out => '', %on };
	$c->{watch} = sub {
		$self->watch($sock, POLLIN | (length $c->{out} ? POLLOUT : 0),
			sub { $self->conn_ready($c, $_[0]) });
	};
	$c->{watch}->();
	return $c;
}

sub conn_ready {
	my ($self, $c, $events) = @_;
	if ($events & POLLOUT && length $c->{out}) {
		my $n = syswrite $c->{sock}, $c->{out};
		substr $c->{out}, 0, $n, '' if defined $n;
		$c->{watch}->() unless length $c->{out};
	}
	return unless $events & (POLLIN | POLLERR | POLLHUP);
	my $n = sysread $c->{sock}, my $data, 65536;
	if (!defined $n) {
		return if $! == EAGAIN || $! == EWOULDBLOCK;
		return $self->conn_end($c, "$!");
	}
	return $self->conn_end($c, 'closed') if $n == 0;
	$c->{in} .= $data;
	$c->{data}->($c);
}

sub send {
	my ($self, $c, $bytes) = @_;
	return if $c->{closed};
	$c->{out} .= $bytes;
	my $n = syswrite $c->{sock}, $c->{out};
	substr $c->{out}, 0, $n, '' if defined $n;
	$c->{watch}->() if length $c->{out};
}

sub conn_end {
	my ($self, $c, $why) = @_;
	return if $c->{closed};
	$c->{closed} = 1;
	$self->unwatch($c->{sock});
	close $c->{sock};
	$c->{ended}->($c, $why) if $c->{ended};
}

sub listen {
	my ($self, $ip, $port, $accepted) = @_;
	my $sock = IO::Socket::INET->new(LocalAddr => $ip, LocalPort => $port,
		Listen => 256, ReuseAddr => 1, Proto => 'tcp')
	    or $self->unrun("listen $ip:$port: $!");
	$sock->blocking(0);
	$self->watch($sock, POLLIN, sub {
		while (my $new = $sock->accept) { $accepted->($new) }
	});
	return $sock;
}

# One whole message from the front of a buffer, or nothing.
sub message {
	my ($buffer, $is_answer) = @_;
	my $end = index $$buffer, "\r\n\r\n";
	return if $end < 0;
	my ($first, @lines) = split /\r\n/, substr $$buffer, 0, $end;
	my %h;
	for (@lines) { my ($name, $value) = split /:\s*/, $_, 2; $h{ lc $name } = $value }
	my $m = { first => $first, h => \%h, body => '' };
	my $rest = substr $$buffer, $end + 4;
	if (($h{'transfer-encoding'} // '') =~ /chunked/i) {
		while (1) {
			return unless $rest =~ s/\A([0-9a-fA-F]+)[^\r\n]*\r\n//;
			my $len = hex $1;
			return if length($rest) < $len + 2;
			$m->{body} .= substr $rest, 0, $len, '';
			substr $rest, 0, 2, '';
			last if $len == 0;
		}
	} else {
		my $len = $h{'content-length'} // 0;
		return if length($rest) < $len;
		$m->{body} = substr $rest, 0, $len, '';
	}
	$$buffer = $rest;
	return $m;
}

# --- Addresses: each machine has one of its own, ports are the same on all.

sub choose_ports {
	my ($self) = @_;
	my $ok;
	for (1 .. 50) {
		my $base = 20000 + int rand 30000;
		$ok = 1;
		for my $host (1 .. 9, 200) {
			for my $port ($base .. $base + 5) {
				my $s = IO::Socket::INET->new(LocalAddr => "$self->{net}.$host",
					LocalPort => $port, Listen => 1, Proto => 'tcp');
				$ok = 0 unless $s;
			}
			last unless $ok;
		}
		if ($ok) { $self->{base} = $base; last }
	}
	die "no free ports\n" unless $ok;
	@$self{qw(outbound inbound ready app control store)} =
	    map { $self->{base} + $_ } 0 .. 5;
}

# --- The platform's store, as PROTOCOL.md has it.

sub start_store {
	my ($self) = @_;
	$self->{store_ip} = "$self->{net}.200";
	$self->listen($self->{store_ip}, $self->{store}, sub {
		$self->conn($_[0], data => sub { $self->store_data($_[0]) });
	});
}

sub store_data {
	my ($self, $c) = @_;
	while (my $m = message(\$c->{in})) {
		# It may reject some machines while it serves the others.
		if ($self->{turned_away}{ $c->{sock}->peerhost }) {
			$self->send($c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
			next;
		}
		my (undef, $target) = split / /, $m->{first};
		my ($path, $query) = split /\?/, $target, 2;
		my %q = map { my ($k, $v) = split /=/, $_, 2;
			$v =~ s/%(..)/chr hex $1/ge; ($k, $v) } split /&/, $query // '';
		if ($path eq '/kv-range') { $self->store_range($c, \%q) }
		elsif ($path eq '/kv-watch') { $self->store_watch($c, \%q) }
		else { $self->send($c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") }
	}
}

sub store_answer {
	my ($self, $c, $object) = @_;
	my $text = $json->encode($object);
	$self->send($c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		. 'Content-Length: ' . length($text) . "\r\n\r\n$text");
}

sub store_range {
	my ($self, $c, $q) = @_;
	my @items = map { $self->{items}{$_} } grep {
		index($_, $q->{prefix} // '') == 0 && $_ gt ($q->{after} // '')
	} sort keys %{ $self->{items} };
	$self->store_answer($c, { items => \@items, has_more => JSON::PP::false,
		current_rev => $self->{revision} });
}

sub store_watch {
	my ($self, $c, $q) = @_;
	my $w = { c => $c, q => $q, ip => $c->{sock}->peerhost };
	return if $self->store_events($w);
	push @{ $self->{watches} }, $w;
	$self->after($q->{wait_ms} / 1000, sub {
		return if $w->{done} || $self->store_events($w);
		$w->{done} = 1;
		$self->store_answer($c, { events => [], current_rev => $self->{revision} });
	});
}

# The store rejects these machines from now on, with 503, and cuts the watches
# of theirs that wait; without any, it serves all.  What they miss meanwhile
# they get by the `after` of their next watch.
sub turn_away {
	my ($self, @machines) = @_;
	$self->{turned_away} = { map { $_->{ip} => 1 } @machines };
	for my $w (grep { $self->{turned_away}{ $_->{ip} } } @{ $self->{watches} }) {
		next if $w->{done};
		$w->{done} = 1;
		$self->conn_end($w->{c}, 'turned away');
	}
	@{ $self->{watches} } = grep { !$_->{done} } @{ $self->{watches} };
	$self->note('store: turns %s away', join ' ', map { $_->{ip} } @machines) if @machines;
	$self->note('store: serves all') unless @machines;
}

sub store_events {
	my ($self, $w) = @_;
	return 1 if $w->{done};
	my @events = grep { $_->{revision} > $w->{q}{after} } @{ $self->{log} // [] };
	return 0 unless @events;
	$w->{done} = 1;
	$self->store_answer($w->{c}, { events => \@events, current_rev => $self->{revision} });
	return 1;
}

sub store_change {
	my ($self, $event) = @_;
	push @{ $self->{log} }, $event;
	@{ $self->{watches} } = grep { !$self->store_events($_) } @{ $self->{watches} };
}

# A write of the operator or of a target; its return is the acknowledgement.
# value is JSON text, or bytes.
sub put {
	my ($self, $key, $value) = @_;
	my $revision = ++$self->{revision};
	my $created = $self->{items}{$key} ? $self->{items}{$key}{created} : $revision;
	$self->{items}{$key} = { key => $key, value => encode_base64($value, ''),
		revision => $revision, created => $created, lease => 0 };
	$self->store_change($self->{items}{$key});
	$self->note('store: %s written at %d', $key, $revision);
	return $self->now;
}

sub remove {
	my ($self, $key) = @_;
	delete $self->{items}{$key};
	$self->store_change({ key => $key, revision => ++$self->{revision},
		deleted => JSON::PP::true });
	$self->note('store: %s removed at %d', $key, $self->{revision});
	return $self->now;
}

sub put_config { my ($self, $config) = @_; return $self->put('op/config', $json->encode($config)) }

# --- Machines and daemons.

sub machine {
	my ($self, $service) = @_;
	my $ip = "$self->{net}." . $self->{next_host}++;
	return { ip => $ip, service => $service, zone => 'zone-a' };
}

sub fields {
	my ($self, $m) = @_;
	return {
		node => "sidecar-$m->{ip}", ip => $m->{ip}, zone => $m->{zone},
		region => 'region-a', zones => { 'zone-a' => 'region-a' },
		service => $m->{service}, app_addr => "$m->{ip}:$self->{app}",
		listen => { outbound => "$m->{ip}:$self->{outbound}",
			inbound => "$m->{ip}:$self->{inbound}",
			ready => "$m->{ip}:$self->{ready}" },
		internal_ports => [$self->{control}, $self->{control}],
		platform => { address => "$self->{store_ip}:$self->{store}" },
		bounds => \%BOUNDS,
	};
}

sub lookup {
	my ($fields, $name) = @_;
	my $value = $fields;
	for (split /\./, $name) {
		$value = ref $value eq 'ARRAY' ? $value->[$_] : $value->{$_};
	}
	return $value;
}

# A section over a table: once for each entry.
sub section {
	my ($table, $inner) = @_;
	my @keys = sort keys %$table;
	my $text = '';
	for my $i (0 .. $#keys) {
		my ($key, $value) = ($keys[$i], $table->{ $keys[$i] });
		my $comma = $i < $#keys ? ',' : '';
		my $one = $inner;
		$one =~ s/\{\{@\}\}/$key/g;
		$one =~ s/\{\{\.\}\}/$value/g;
		$one =~ s/\{\{,\}\}/$comma/g;
		$text .= $one;
	}
	return $text;
}

# The placeholders that deploy/loomd.jsonc uses.
sub render {
	my ($fields, $text) = @_;
	$text =~ s/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/section($fields->{$1}, $2)/gse;
	$text =~ s/\{\{([a-z0-9_.]+)\|json\}\}/$json->encode(lookup($fields, $1))/ge;
	$text =~ s/\{\{([a-z0-9_.]+)\}\}/lookup($fields, $1)/ge;
	return $text;
}

sub slurp { my ($file) = @_; open my $in, '<', $file or die "$file: $!"; local $/; return <$in> }

sub start_daemon {
	my ($self, $m) = @_;
	my $deploy = slurp('deploy/system.toml');
	my ($run) = $deploy =~ /^run = "([^"]*)"/m;
	my ($template) = $deploy =~ /^template = "([^"]*)"/m;
	my $file = "$self->{dir}/settings-$m->{ip}.conf";
	open my $out, '>', $file or die "$file: $!";
	print $out render($self->fields($m), slurp($template));
	close $out;
	my @command = split / /, $run;
	s{^/etc/vanillaloom/settings\.conf$}{$file} for @command;
	$self->unrun("$command[0] is not built") unless -x $command[0];
	my $pid = fork;
	$self->unrun("fork: $!") unless defined $pid;
	if ($pid == 0) {
		$SIG{$_} = 'DEFAULT' for qw(TERM INT HUP PIPE);
		open STDOUT, '>', "$self->{dir}/log-$m->{ip}.txt";
		open STDERR, '>&', \*STDOUT;
		%ENV = (PATH => $ENV{PATH}, HOME => $ENV{HOME} // '/',
			LANG => 'C', VANILLALOOM_NODE_FILE => $file);
		exec { $command[0] } @command or POSIX::_exit(127);
	}
	$m->{pid} = $pid;
	$self->{daemons}{$pid} = $m;
	$self->note('daemon of %s on %s starts', $m->{service}, $m->{ip});
}

sub daemon_ended {
	my ($self, $m) = @_;
	return 1 unless $m->{pid};
	return 0 unless waitpid($m->{pid}, WNOHANG) == $m->{pid};
	$m->{status} = $?;
	$self->note('daemon on %s ended with status %d', $m->{ip}, $?);
	delete $self->{daemons}{ $m->{pid} };
	delete $m->{pid};
	return 1;
}

sub signal {
	my ($self, $m, $name) = @_;
	$self->note('SIG%s to the daemon on %s', $name, $m->{ip});
	kill $name, $m->{pid} if $m->{pid};
}

# What the platform asks each second.
sub is_ready {
	my ($self, $m) = @_;
	my $status;
	my $sock = IO::Socket::INET->new(PeerAddr => $m->{ip},
		PeerPort => $self->{ready}, Timeout => 1) or return 0;
	my $c = $self->conn($sock, ended => sub { $status //= 0 }, data => sub {
		my $a = message(\$_[0]{in}) or return;
		($status) = $a->{first} =~ m{^HTTP/1\.1 (\d+)};
	});
	$self->send($c, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	$self->until(1, sub { defined $status });
	$self->conn_end($c, 'done');
	return ($status // 0) == 200;
}

sub await_ready {
	my ($self, @machines) = @_;
	for my $m (@machines) {
		my $end = $self->now + 15;
		while (!$self->is_ready($m)) {
			$self->unrun("$m->{ip} is not ready") if $self->now > $end;
			$self->rest(0.1);
		}
	}
	$self->note('all %d daemons are ready', scalar @machines);
}

sub stop {
	my ($self) = @_;
	return unless $self->{owner} == $$;
	my @pids = keys %{ $self->{daemons} };
	kill 'KILL', @pids if @pids;
	waitpid $_, 0 for @pids;
	$self->{daemons} = {};
}

sub DESTROY { my ($self) = @_; local $?; $self->stop }

# --- Targets.

# work_s: how long a request runs; slots at once, the rest is rejected unrun.
sub start_target {
	my ($self, $m, %o) = @_;
	my $t = { id => $o{id}, service => $o{service}, machine => $m,
		work_s => $o{work_s} // 0.05, slots => $o{slots} // 16, running => 0,
		conns => {}, answer => $o{answer} // 'ok', born => int(time * 1000) };
	$t->{listener} = $self->listen($m->{ip}, $self->{app}, sub {
		my $c = $self->conn($_[0], data => sub { $self->target_data($t, $_[0]) },
			ended => sub { my ($c) = @_;
				delete $t->{conns}{$c};
				return unless $c->{run};
				$c->{run}{cut} = 1;
				$t->{running}--;
				$self->note('target %s drops %s: %s', $t->{id}, $c->{run}{request}, $_[1]);
			});
		$t->{conns}{$c} = $c;
	});
	$self->{targets}{ $o{id} } = $t;
	$self->note('target %s of %s starts at %s:%d', $t->{id}, $t->{service},
		$m->{ip}, $self->{app});
	return $t;
}

sub entry {
	my ($self, $t, $state) = @_;
	return { service => $t->{service}, address => "$t->{machine}{ip}:$self->{app}",
		zone => $t->{machine}{zone}, version => 'v1', slots => $t->{slots},
		state => $state, cold_remaining_s => 0, sequence => 1, born => $t->{born} };
}

sub register {
	my ($self, $t, $state) = @_;
	$self->note('target %s reports %s', $t->{id}, $state);
	return $self->put("servers/$t->{id}", $json->encode($self->entry($t, $state)));
}

sub target_data {
	my ($self, $t, $c) = @_;
	return if $c->{run};
	my $m = message(\$c->{in}) or return;
	my ($method, $path) = split / /, $m->{first};
	if ($path eq $HEALTH) {
		$self->answer($c, '200 OK', "Instance-Id: $t->{id}\r\n", '');
		return;
	}
	my $request = $m->{h}{'request-id'} // '-';
	my $echo = "Request-Id: $request\r\n";
	my $expected = $m->{h}{'expected-instance'};
	my $arrival = { request => $request, at => $self->now, target => $t->{id},
		service => $t->{service}, path => $path, body => $m->{body},
		h => $m->{h}, method => $method };
	push @{ $self->{arrivals} }, $arrival;
	if (defined $expected && $expected ne $t->{id}) {
		$self->note('target %s answers 421 to %s, which expects %s', $t->{id},
			$request, $expected);
		$self->answer($c, '421 Misdirected Request', $echo . "Instance-Id: $t->{id}\r\n", '');
		return;
	}
	if ($t->{running} >= $t->{slots}) {
		$self->note('target %s rejects %s: full', $t->{id}, $request);
		$self->answer($c, '503 Service Unavailable', $echo . "Not-Executed: 1\r\n", '');
		return;
	}
	$t->{running}++;
	$arrival->{ran} = 1;
	$c->{run} = $arrival;
	$self->note('target %s of %s runs %s (%s %s, Expected-Instance: %s)', $t->{id},
		$t->{service}, $request, $method, $path, $expected // 'none');
	my $work_s = $path =~ m{/work-(\d+)ms} ? $1 / 1000 : $t->{work_s};
	$self->after($work_s, sub {
		return if $c->{closed};
		$arrival->{done} = 1;
		delete $c->{run};
		$t->{running}--;
		$self->answer($c, '200 OK', $echo . "Server-Signature: $t->{id}.$request\r\n"
			. "Server-Load: $t->{running},0,$t->{slots}\r\n", "$t->{id} ran $request");
		$self->target_data($t, $c) if length $c->{in};
	});
}

sub answer {
	my ($self, $c, $status, $headers, $body) = @_;
	$self->send($c, "HTTP/1.1 $status\r\n${headers}Content-Length: "
		. length($body) . "\r\n\r\n$body");
}

sub end_target {
	my ($self, $t) = @_;
	$self->note('target %s ends, %d requests running', $t->{id}, $t->{running});
	$self->unwatch($t->{listener});
	close $t->{listener};
	$self->conn_end($_, 'the target ends') for values %{ $t->{conns} };
}

# --- Clients.

my $serial = 0;

# A request on a new connection to the machine's own daemon; an object whose
# status is set at its end.  pause_s: the client stops so long in its body.
sub request {
	my ($self, $m, %o) = @_;
	my $id = sprintf '%08x%08x', ++$serial, int rand 2**32;
	my $r = { id => $id, at => $self->now, path => $o{path} };
	my $sock = IO::Socket::INET->new(PeerAddr => $m->{ip},
		PeerPort => $self->{outbound}, Timeout => 1);
	if (!$sock) { $r->{status} = 'no connection'; return $r }
	my $body = $o{body} // '';
	my $head = ($o{method} // 'POST') . " $o{path} HTTP/1.1\r\nHost: $o{host}\r\n"
	    . "Request-Id: $id\r\nDeadline-Ms: " . ($o{deadline_ms} // 5000)
	    . "\r\nAuthorization: Bearer $o{key}\r\n" . ($o{headers} // "")
	    . 'Content-Length: ' . length($body) . "\r\n\r\n";
	my $finish = sub {
		my ($status) = @_;
		return if defined $r->{status};
		$r->{status} = $status;
		$r->{ended} = $self->now;
		$self->note('client: %s ends after %.3f s: %s', $id, $r->{ended} - $r->{at}, $status);
	};
	my $c = $self->conn($sock, data => sub {
		my ($c) = @_;
		$c->{in} =~ s/\AHTTP\/1\.1 100[^\r\n]*\r\n\r\n//;
		my $a = message(\$c->{in}) or return;
		my ($status) = $a->{first} =~ m{^HTTP/1\.1 (\d+)};
		$r->{h} = $a->{h};
		$r->{body} = $a->{body};
		$finish->($status);
		$self->conn_end($c, 'done');
	}, ended => sub { $finish->("connection ended without an answer ($_[1])") });
	$r->{c} = $c;
	$self->note('client: %s sent to %s (%s)', $id, $m->{ip}, $o{path});
	$self->send($c, $head);
	if ($o{pause_s}) {
		$self->after($o{pause_s}, sub {
			$self->note('client: %s goes on with its body', $id);
			$self->send($c, $body);
		});
	} else {
		$self->send($c, $body);
	}
	$r->{sent} = $self->now;
	return $r;
}

sub runs_of {
	my ($self, $id) = @_;
	return grep { $_->{request} eq $id && $_->{ran} } @{ $self->{arrivals} // [] };
}

# --- A configuration of the form that `fleetbench wire` shows.

sub config {
	my ($version, $services, @routes) = @_;
	return {
		version => $version,
		routes => [map { { aim_s => 1, priority => 1, max_attempts => 2,
			public => JSON::PP::false, timeout_s => 5, %$_ } } @routes],
		services => [map { { name => $_, health_path => $HEALTH,
			max_connections => 200, protocol => 'h1', tls => JSON::PP::false } } @$services],
		limits => { max_header_bytes => 16384, max_body_bytes => 67108864,
			header_timeout_s => 3, idle_timeout_s => 15 },
		tenants => [{ name => 'tenant-a', api_keys => ['key-of-tenant-a'],
			priority => 0, rate_per_s => 0, burst => 0 }],
	};
}

1;
