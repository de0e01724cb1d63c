# The operator adds tenants, one with each new version, and clients use a new
# tenant's key from the store's acknowledgement on.
use strict;
use warnings;
use lib 'review/lib';
use Mesh;

my $TROUBLE = ($ENV{TROUBLE} // 1) ne '0';
my $NTENANTS = 8;
my $WATCHED_S = 2; # config_apply_s
my $SENT_EACH_S = 0.01;

my $mesh = Mesh->new(case => 'review/2');
my @hosts = map { $mesh->machine('orders') } 1 .. 3;
my @desks = map { $mesh->machine('desk') } 1 .. 3;
my @targets = map {
	$mesh->start_target($hosts[$_], id => "i-orders-$_", service => 'orders',
		work_s => 0.02, slots => 64)
} 0 .. $#hosts;
push @targets, map {
	$mesh->start_target($desks[$_], id => "i-desk-$_", service => 'desk')
} 0 .. $#desks;

sub tenant {
	my ($n) = @_;
	return { name => "tenant-new-$n", api_keys => ["key-of-tenant-new-$n"],
		priority => 0, rate_per_s => 0, burst => 0 };
}

my $config = Mesh::config(3, [qw(orders desk)], {
	name => 'place-order', host => 'shop.example', prefix => '/place/',
	kind => 'unsafe', service => 'orders' });
# Without the disruption the tenants are there from the start.
push @{ $config->{tenants} }, map { tenant($_) } 1 .. $NTENANTS unless $TROUBLE;

$mesh->register($_, 'ready') for @targets;
$mesh->put_config($config);
$mesh->start_daemon($_) for @hosts, @desks;
$mesh->await_ready(@hosts, @desks);
# All machines and the store are in touch from here on.
$mesh->rest($Mesh::BOUNDS{stability_s} + 0.5);

my (%tenant_of, @sent);
for my $n (1 .. $NTENANTS) {
	if ($TROUBLE) {
		$config->{version} += 2;
		push @{ $config->{tenants} }, tenant($n);
		$mesh->put_config($config);
	}
	my $end = $mesh->now + $WATCHED_S;
	while ($mesh->now < $end) {
		for my $desk (@desks) {
			my $r = $mesh->request($desk, path => '/place/order',
				host => 'shop.example', key => "key-of-tenant-new-$n");
			$tenant_of{ $r->{id} } = "tenant-new-$n";
			push @sent, $r;
		}
		$mesh->rest($SENT_EACH_S);
	}
}
$mesh->until(8, sub { !grep { !defined $_->{status} } @sent });

my @ran = grep { $_->{ran} && $tenant_of{ $_->{request} } } @{ $mesh->{arrivals} };
my @wrong = grep { ($_->{h}{'tenant-id'} // '') ne $tenant_of{ $_->{request} } } @ran;
$mesh->note('%s, sent with the key of %s, ran at %s with Tenant-Id %s', $_->{request},
	$tenant_of{ $_->{request} }, $_->{target}, $_->{h}{'tenant-id'} // '(none)')
    for @wrong;
$mesh->note('%d orders sent, %d run, %d of them without their tenant', scalar @sent,
	scalar @ran, scalar @wrong);
$mesh->stop;
$mesh->unrun('no order was run') unless @ran;
print scalar(@wrong), ' of ', scalar(@ran), " orders ran without their tenant\n";
exit(@wrong ? 1 : 0);
