use strict;
use warnings;
use lib 'review/lib';
use Mesh;

my $trouble = ($ENV{TROUBLE} // '1') ne '0';
my $mesh = Mesh->new(case => 'review/3');

my $front = $mesh->machine('status');
my @back = map { $mesh->machine('orders') } 1 .. 2;
my $status = $mesh->start_target($front, id => 'i-status-1', service => 'status');
my @orders = map {
	$mesh->start_target($back[ $_ - 1 ], id => "i-orders-$_", service => 'orders',
		work_s => 0.4);
} 1 .. 2;
$mesh->put_config(Mesh::config(7, ['orders', 'status'],
	{ name => 'r-order', host => 'a.example', prefix => '/order/',
	    kind => 'unsafe', service => 'orders' }));
$mesh->register($_, 'ready') for $status, @orders;
$mesh->start_daemon($_) for $front, @back;
$mesh->await_ready($front, @back);
$mesh->rest(4);

# Another writer's entry: its address holds bytes that cannot be read.
if ($trouble) {
	$mesh->put('servers/i-other-writer', '{"service":"orders","address":"'
		. "\xff\xfe\x81:9000" . '","zone":"zone-a","version":"v1",'
		. '"slots":16,"state":"ready","cold_remaining_s":0,"sequence":1}');
}
$mesh->rest(1);

# Planned work: one target drains, serves for drain_s and a little longer, and
# leaves.  Orders come all the while.
my ($acked, $ended, @sent);
my $going = 1;
my $send;
$send = sub {
	return unless $going;
	push @sent, $mesh->request($front, path => '/order/1', host => 'a.example',
		key => 'key-of-tenant-a', body => 'one order', deadline_ms => 4000);
	$mesh->after(0.05, $send);
};
$send->();
$mesh->rest(1);
$acked = $mesh->register($orders[0], 'draining');
$mesh->rest($Mesh::BOUNDS{drain_s} + 1.5);
$mesh->end_target($orders[0]);
$mesh->remove('servers/i-orders-1');
$mesh->rest(1);
$going = 0;
$mesh->until(8, sub { !grep { !defined $_->{status} } @sent }) or $mesh->unrun('no end');

my @late = grep { $_->{target} eq 'i-orders-1' &&
	$_->{at} > $acked + $Mesh::BOUNDS{drain_s} } @{ $mesh->{arrivals} };
my @lost = grep { my $r = $_; $r->{status} ne '200' &&
	grep { $_->{target} eq 'i-orders-1' } $mesh->runs_of($r->{id}) } @sent;
$mesh->note('%d requests, %d reached the leaving target later than drain_s after its '
	. 'acknowledgement, the last after %.2f s; %d that ran there have no answer',
	scalar @sent, scalar @late, @late ? $late[-1]{at} - $acked : 0, scalar @lost);
$mesh->note('BROKEN: %s reaches i-orders-1 %.3f s after the acknowledgement',
	$_->{request}, $_->{at} - $acked) for @late;
my %ends;
$ends{ $_->{status} }++ for @sent;
$mesh->note('%d x %s', $ends{$_}, $_) for sort keys %ends;
$mesh->note(@late ? 'the rule was broken' : 'the rule held');
$mesh->stop;
exit(@late ? 1 : 0);
