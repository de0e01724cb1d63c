# Another writer leaves one entry under servers/ that cannot be read; then a
# target of the same service reports that it is draining (DRAIN).  At last all
# daemons are killed and started again (RECOVER).
use strict;
use warnings;
use lib 'review/lib';
use Mesh;

my $TROUBLE = ($ENV{TROUBLE} // 1) ne '0';
my $DRAIN_S = $Mesh::BOUNDS{drain_s};
# It serves on "for drain_s after the store has accepted that report and a
# little longer", and then exits.
my $LEAVES_AFTER_S = $DRAIN_S + 1.5;
my $SENT_EACH_S = 0.02;
my $RECOVERY_S = 15;

my $mesh = Mesh->new(case => 'review/3');
my @hosts = map { $mesh->machine('orders') } 1 .. 3;
my $desk = $mesh->machine('desk');
my @targets = map {
	$mesh->start_target($hosts[$_], id => "i-orders-$_", service => 'orders',
		work_s => 0.4)
} 0 .. 2;
my $at_desk = $mesh->start_target($desk, id => 'i-desk', service => 'desk');

$mesh->register($_, 'ready') for @targets, $at_desk;
$mesh->put_config(Mesh::config(3, [qw(orders desk)], {
	name => 'place-order', host => 'shop.example', prefix => '/place/',
	kind => 'unsafe', service => 'orders' }));
$mesh->start_daemon($_) for @hosts, $desk;
$mesh->await_ready(@hosts, $desk);
# All machines and the store are in touch from here on.
$mesh->rest($Mesh::BOUNDS{stability_s} + 0.5);

# Well-formed but for the bytes of its zone, which are no UTF-8.
my $unreadable = '{"service":"orders","address":"' . "$mesh->{net}.9:$mesh->{app}"
    . '","zone":"' . "\xff\xfe" . '","version":"v1","slots":16,"state":"ready",'
    . '"cold_remaining_s":0,"sequence":1,"born":1700000000000}';
$mesh->put('servers/other-writer', $unreadable) if $TROUBLE;
$mesh->rest(1);

# Send orders for so long; returns them when all have ended.
sub send_orders {
	my ($for_s) = @_;
	my $end = $mesh->now + $for_s;
	my @sent;
	while ($mesh->now < $end) {
		push @sent, $mesh->request($desk, path => '/place/order',
			host => 'shop.example', key => 'key-of-tenant-a');
		$mesh->rest($SENT_EACH_S);
	}
	$mesh->until(8, sub { !grep { !defined $_->{status} } @sent });
	return @sent;
}

sub served { return scalar grep { ($_->{status} // '') eq '200' } @_ }

my $leaver = $targets[0];
my $acked;
$mesh->after(1, sub { $acked = $mesh->register($leaver, 'draining') });
$mesh->after(1 + $LEAVES_AFTER_S, sub {
	$mesh->end_target($leaver);
	$mesh->remove("servers/$leaver->{id}");
	# "A daemon receives SIGTERM after its target has terminated."
	$mesh->signal($hosts[0], 'TERM');
});
my @sent = send_orders(8);
my $served = served(@sent);

my %by_id = map { $_->{id} => $_ } @sent;
my @late = grep {
	$_->{target} eq $leaver->{id} && $_->{ran} && $_->{at} > $acked + $DRAIN_S
	    && $by_id{ $_->{request} }{at} > $acked + $DRAIN_S
} @{ $mesh->{arrivals} };
my @cut = grep { $_->{cut} } @late;
$mesh->note('%d orders sent, %d answered 200', scalar @sent, $served);
$mesh->note('DRAIN: %d sent and run at the draining target later than %g s after the '
	. 'acknowledgement; %d of them cut by its exit', scalar @late, $DRAIN_S, scalar @cut);
$mesh->note('client: %s was told %s', $_->{request}, $by_id{ $_->{request} }{status} // 'nothing')
    for @cut;
$mesh->unrun('no order was served') unless $served;

my @left = (@hosts[1, 2], $desk);
$mesh->signal($_, 'KILL') for @left;
$mesh->until(5, sub { !grep { !$mesh->daemon_ended($_) } @left })
    or $mesh->unrun('a daemon outlives SIGKILL');
$mesh->rest(0.5);
$mesh->start_daemon($_) for @left;
$mesh->rest($RECOVERY_S);
$mesh->note('%s: %s', $_->{ip}, $mesh->is_ready($_) ? 'ready' : 'not ready') for @left;
my @after = send_orders(3);
my $recovered = served(@after);
$mesh->note('RECOVER: %d orders sent later than %g s after the restart, %d answered 200',
	scalar @after, $RECOVERY_S, $recovered);
$mesh->stop;
print "DRAIN: ", scalar(@late), ' orders reached the draining target late, ',
    scalar(@cut), " were lost with it\n";
print "RECOVER: $recovered of ", scalar(@after), " orders served after the restart\n";
exit(@late || $recovered < @after / 4 ? 1 : 0);
