use strict;
use warnings;
use lib 'review/lib';
use Mesh;

my $trouble = ($ENV{TROUBLE} // '1') ne '0';
my $mesh = Mesh->new(case => 'review/2');

my $front = $mesh->machine('status');
my @back = map { $mesh->machine('orders') } 1 .. 4;
my $status = $mesh->start_target($front, id => 'i-status-1', service => 'status');
my @orders = map { $mesh->start_target($back[ $_ - 1 ], id => "i-orders-$_",
	service => 'orders', work_s => 0.02, slots => 64) } 1 .. @back;
my $config = sub {
	my ($version, @tenants) = @_;
	my $c = Mesh::config($version, ['orders', 'status'],
		{ name => 'r-order', host => 'a.example', prefix => '/order/',
		    kind => 'unsafe', service => 'orders' });
	$c->{tenants} = [map { { name => $_, api_keys => ["key-of-$_"],
		priority => 1, rate_per_s => 0, burst => 0 } } @tenants];
	return $c;
};
my $rounds = 5;
my @tenants = map { "tenant-$_" } 0 .. $rounds;
$mesh->put_config($config->(7, $trouble ? $tenants[0] : @tenants));
$mesh->register($_, 'ready') for $status, @orders;
$mesh->start_daemon($_) for $front, @back;
$mesh->await_ready($front, @back);
$mesh->rest(4);

my @sent;
for my $round (1 .. $rounds) {
	# The store turns the machines of `orders` away, and serves the other one.
	if ($trouble) {
		$mesh->turn_away(@back);
		$mesh->put_config($config->(7 + 5 * $round, @tenants[0 .. $round]));
	}
	my $going = 1;
	my $send;
	$send = sub {
		return unless $going;
		push @sent, $mesh->request($front, path => '/order/1', host => 'a.example',
			key => "key-of-tenant-$round", body => 'one order', deadline_ms => 4000);
		$sent[-1]{tenant} = "tenant-$round";
		$mesh->after(0.01, $send);
	};
	$send->();
	$mesh->rest(1.5);
	$going = 0;
	$mesh->turn_away if $trouble;
	$mesh->rest(1);
}
$mesh->until(8, sub { !grep { !defined $_->{status} } @sent }) or $mesh->unrun('no end');
my %tenant = map { $_->{id} => $_->{tenant} } @sent;
my @wrong = grep { $_->{ran} && ($_->{h}{'tenant-id'} // '') ne $tenant{ $_->{request} } }
    @{ $mesh->{arrivals} };
$mesh->note('BROKEN: %s, by the key of %s, runs at %s with Tenant-Id: %s', $_->{request},
	$tenant{ $_->{request} }, $_->{target}, $_->{h}{'tenant-id'} // 'none') for @wrong;
my %ends;
$ends{ $_->{status} }++ for @sent;
$mesh->note('%d x %s', $ends{$_}, $_) for sort keys %ends;
$mesh->note('%d requests, %d ran without their tenant', scalar @sent, scalar @wrong);
$mesh->note(@wrong ? 'the rule was broken' : 'the rule held');
$mesh->stop;
exit(@wrong ? 1 : 0);
